#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "protocol/http/request_target.h"

using namespace peridot;

// Guards against a name that changes the request: adds a parameter, ends the
// path or the request line, or adds a header field.
TEST_CASE("requestTarget_charactersWithMeaning_encoded") {
  CHECK(request_target("/objects")
            .addSegment("a/b?c")
            .addParameter("after", "x y&z=1#%zz+\r\nX: 1")
            .addParameter("n", "\xc3\xa9")
            .text() ==
        "/objects/a%2Fb%3Fc?after=x%20y%26z%3D1%23%25zz%2B%0D%0AX%3A%201&n="
        "%C3%A9");
}

TEST_CASE("requestTarget_plainNames_unchanged") {
  CHECK(request_target("/v1").addSegment("hive-1.x_~").text() ==
        "/v1/hive-1.x_~");
}

TEST_CASE("queryValue_anyBytes_decodedAsEncoded") {
  CHECK(rc::check([](const std::string &Name, const std::string &Value) {
    const std::string Target = request_target("/p")
                                   .addParameter("other" + Name, "o")
                                   .addParameter(Name, Value)
                                   .addParameter("last", "l")
                                   .text();
    RC_PRE(Name != "last");
    RC_ASSERT(queryValue(Target, Name) == Value);
    RC_ASSERT(queryValue(Target, "last") == "l");
    RC_ASSERT(pathOf(Target) == "/p");
  }));
}

TEST_CASE("queryValue_notDecodable_returnedAsItIs") {
  CHECK(queryValue("/p?a=%zz&b=1", "a") == "%zz");
  CHECK(queryValue("/p?a=%zz&b=1", "b") == "1");
  CHECK(queryValue("/p?a", "a").empty());
  CHECK(queryValue("/p", "a").empty());
}
