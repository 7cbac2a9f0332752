#include <gtest/gtest.h>

#include "citronloft/edge/http_object_store.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

struct TagCase {
    std::string name;
    std::string tag;
    StoreRevision revision;
};

class VersionTagTest : public testing::TestWithParam<TagCase> { };

/// The service compares tags as text, so that a tag must be sent as it was received.
TEST_P(VersionTagTest, IsSentAsItWasReceived)
{
    const auto& param = GetParam();
    EXPECT_EQ(parseVersionTag('"' + param.tag + '"'), param.revision);
    EXPECT_EQ(formatVersionTag(param.revision), param.tag);

    auto context = boost::asio::io_context {};
    auto service = RawServer(context,
        { { "HTTP/1.1 200 OK\r\nETag: \"" + param.tag + "\"\r\nContent-Length: 1\r\n\r\nv", false },
            { "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n", false },
            { "HTTP/1.1 304 Not Modified\r\n\r\n", false } });
    auto clock = SteadyClock {};
    auto metrics = Metrics {};
    const auto store = makeHttpObjectStore(context, clock, metrics, { .address = service.address() });
    auto isFinished = false;
    store->get("key", [&](const auto& object) {
        ASSERT_TRUE(object.ok());
        EXPECT_EQ(object->version, param.revision);
        store->put("key", "w", object->version, [&, version = object->version](const auto& result) {
            EXPECT_TRUE(absl::IsAborted(result.status()));
            store->watch("key", version, 1s, [&](const auto&) { isFinished = true; });
        });
    });
    while (!isFinished && context.run_one_for(10s) > 0) { }
    ASSERT_EQ(service.requests.size(), 3U);
    EXPECT_NE(service.requests[1].find("If-Match: \"" + param.tag + "\""), std::string::npos) << service.requests[1];
    EXPECT_NE(service.requests[2].find("watch=" + param.tag + "&"), std::string::npos) << service.requests[2];
}

INSTANTIATE_TEST_SUITE_P(Tags, VersionTagTest,
    testing::Values(TagCase { "WithoutEra", "5", { 0, 5 } }, TagCase { "WithEra", "3.5", { 3, 5 } }),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace citronloft
