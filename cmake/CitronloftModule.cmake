# Declares the library citronloft_<name> from src/citronloft/<name>/, and its
# test program from the *_test.cpp files beside the sources.
function(citronloft_module name)
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/src/citronloft/${name}/*.cpp")
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  add_library(citronloft_${name} STATIC ${sources})
  target_include_directories(citronloft_${name} PUBLIC "${CMAKE_SOURCE_DIR}/include")
  target_link_libraries(citronloft_${name} PUBLIC ${ARGN})

  if(tests AND CITRONLOFT_BUILD_TESTS)
    add_executable(${name}_test ${tests})
    target_compile_definitions(${name}_test PRIVATE CITRONLOFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_include_directories(${name}_test PRIVATE "${CMAKE_SOURCE_DIR}/tests")
    target_link_libraries(${name}_test PRIVATE citronloft_${name} citronloft_check GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_test)
    # The fleet tests take many minutes with sanitizers on a busy machine; the default is 1500 s.
    set_tests_properties(${name} PROPERTIES TIMEOUT 3000)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
