/// @file
/// @brief Reads HTTP messages in the calling coroutine, so that an exception of the parser ends only the read.
#pragma once

#include <exception>
#include <type_traits>

#include <boost/asio/error.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include "citronloft/base/log.hpp"
#include "citronloft/edge/body_memory.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// Maximum number of bytes of one read.
inline constexpr auto maxReadBytes = std::size_t { 64 } * 1024;
/// Size from which the buffer of a body without a known length grows in steps.
inline constexpr auto minSteppedBytes = std::size_t { 32 } * 1024;
/// Maximum number of received bytes that are not yet parsed, such as the line of a chunk size or a trailer. The parser
/// throws at fields of 64 KiB.
inline constexpr auto maxUnparsedBytes = std::size_t { 63 } * 1024;

/// @brief Passes buffered bytes to the parser.
/// @return need_more if the parser needs further bytes, the parser's error, or bad_field after an exception.
template <typename Parser>
auto parseBuffered(boost::beast::flat_buffer& buffer, Parser& parser) -> boost::beast::error_code
{
    auto error = boost::beast::error_code {};
    if (buffer.size() == 0)
        return boost::beast::http::error::need_more;
    try {
        const auto size = parser.put(buffer.data(), error);
        buffer.consume(size);
        if (!error && size == 0)
            error = boost::beast::http::error::need_more;
    } catch (const std::exception& exception) {
        LogEvent(LogLevel::Warning, "message-unreadable").with("reason", exception.what());
        error = boost::beast::http::error::bad_field;
    }
    return error;
}

/// @brief Reads until `isRead` is true of the parser.
/// @return the error of the stream or the parser; end_of_stream if the stream ends before the message begins, and
/// buffer_overflow if the parser needs more bytes than the buffer can hold.
/// @param onParsed called whenever the parser has taken bytes; the read ends with no_memory if it returns false.
template <typename Stream, typename Parser, typename OnParsed>
auto readUntil(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
    std::type_identity_t<bool (Parser::*)() const> isRead, boost::asio::yield_context yield, OnParsed onParsed,
    std::size_t maxBytes = maxReadBytes) -> boost::beast::error_code
{
    while (!(parser.*isRead)()) {
        auto error = parseBuffered(buffer, parser);
        if (error && error != boost::beast::http::error::need_more)
            return error;
        if (!onParsed())
            return boost::asio::error::no_memory;
        if (!error)
            continue;
        const auto room = boost::beast::read_size(buffer, maxBytes);
        if (room == 0)
            return boost::beast::http::error::buffer_overflow;
        error = {};
        const auto size = stream.async_read_some(buffer.prepare(room), yield[error]);
        buffer.commit(size);
        if (error != boost::asio::error::eof && error)
            return error;
        if (!error)
            continue;
        if (!parser.got_some())
            return boost::beast::http::error::end_of_stream;
        error = {};
        parser.put_eof(error);
        return error;
    }
    return {};
}

/// @brief Reads a message's header in small steps, since the memory of parsed fields may be many times their size.
/// @param onParsed as in readUntil().
template <typename Stream, typename Parser, typename OnParsed>
auto readHeader(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, boost::asio::yield_context yield,
    OnParsed onParsed) -> boost::beast::error_code
{
    parser.eager(false);
    constexpr auto maxHeaderReadBytes = std::size_t { 4096 };
    return readUntil(stream, buffer, parser, &Parser::is_header_done, yield, onParsed, maxHeaderReadBytes);
}

/// @brief Reads a message's header without a limit on memory.
template <typename Stream, typename Parser>
auto readHeader(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, boost::asio::yield_context yield)
    -> boost::beast::error_code
{
    parser.eager(false);
    return readUntil(stream, buffer, parser, &Parser::is_header_done, yield, [] { return true; });
}

/// @brief Makes room for the next bytes of a body whose length is not known.
///
/// The sizes of the buffer are the limit divided by powers of two. The last copy, of half of the limit into a new
/// buffer, then needs no more memory than the largest body.
/// @return whether there is room.
template <typename Parser> auto growBody(Parser& parser, BodyReservation& reservation, std::size_t limitBytes) -> bool
{
    auto& body = parser.get().body();
    const auto needed = body.size() + maxReadBytes;
    if (!parser.chunked() || body.size() < minSteppedBytes || needed <= body.capacity())
        return true;
    auto step = limitBytes;
    while (step / 2 >= needed)
        step /= 2;
    if (step <= body.capacity())
        return true;
    if (!reservation.resize(step, 2 * body.size()))
        return false;
    body.reserve(step);
    return reservation.resize(body.capacity(), body.size());
}

/// @brief Reads the rest of a message after its header.
/// @param limitBytes the parser's limit on the body; growBody() uses it.
/// @return no_memory if there is no room for the body.
/// @param onParsed as in readUntil().
template <typename Stream, typename Parser, typename OnParsed>
auto readBody(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, BodyReservation& reservation,
    std::size_t limitBytes, boost::asio::yield_context yield, OnParsed onParsed) -> boost::beast::error_code
{
    parser.eager(true);
    return readUntil(stream, buffer, parser, &Parser::is_done, yield, [&] {
        const auto& body = parser.get().body();
        return onParsed() && reservation.resize(body.capacity(), body.size())
            && growBody(parser, reservation, limitBytes);
    });
}

/// @brief Reads the rest of a message after its header; only the body is limited.
/// @return no_memory if there is no room for the body.
template <typename Stream, typename Parser>
auto readBody(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, BodyReservation& reservation,
    std::size_t limitBytes, boost::asio::yield_context yield) -> boost::beast::error_code
{
    return readBody(stream, buffer, parser, reservation, limitBytes, yield, [] { return true; });
}

/// @brief Reads the rest of a message after its header without keeping the body.
template <typename Stream, typename Parser>
auto discardBody(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, boost::asio::yield_context yield)
    -> boost::beast::error_code
{
    parser.eager(true);
    return readUntil(stream, buffer, parser, &Parser::is_done, yield, [&] {
        parser.get().body().clear();
        return true;
    });
}

/// @return the fields that the parser has read; before the body is read, those of the header without the trailer.
template <typename Parser> auto copyFields(const Parser& parser) -> HeaderFields
{
    auto fields = HeaderFields {};
    for (const auto& field : parser.get())
        fields.add(std::string_view { field.name_string() }, std::string_view { field.value() });
    return fields;
}

} // namespace citronloft
