#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "protocol/text/usable_name.h"
#include "protocol/text/utf8.h"

using namespace peridot;

TEST_CASE("isUtf8_validAndInvalidText_told") {
  for (const char *Valid : {"", "hive", "caf\xc3\xa9", "\xf0\x9f\x90\x9d"})
    CHECK(isUtf8(Valid));
  // A lone byte, an overlong form, a surrogate, a cut character.
  for (const char *Invalid :
       {"a\xff", "\xc0\xaf", "\xed\xa0\x80", "\xf0\x9f\x90"})
    CHECK_FALSE(isUtf8(Invalid));
}

TEST_CASE("replaceInvalidUtf8_anyBytes_valid") {
  CHECK(replaceInvalidUtf8("a\xff"
                           "b") == "a\xef\xbf\xbd"
                                   "b");
  CHECK(replaceInvalidUtf8("caf\xc3\xa9") == "caf\xc3\xa9");
  CHECK(rc::check([](const std::string &Text) {
    const std::string Valid = replaceInvalidUtf8(Text);
    RC_ASSERT(isUtf8(Valid));
    RC_ASSERT(!isUtf8(Text) || Valid == Text);
  }));
}

// Guards against names that change a header field, a log line or a label.
TEST_CASE("isUsableName_charactersAndLength_told") {
  for (const char *Usable : {"hive-1", "a b", "caf\xc3\xa9", "a%zz&b=\"\\"})
    CHECK(isUsableName(Usable));
  for (const char *Unusable : {"", " a", "a ", "a\r\nb", "a\tb", "a\x7f",
                               "a\xc2\x85"
                               "b",
                               "a\xff"})
    CHECK_FALSE(isUsableName(Unusable));
  CHECK(isUsableName(std::string(MaxNameBytes, 'a')));
  CHECK_FALSE(isUsableName(std::string(MaxNameBytes + 1, 'a')));
  CHECK_FALSE(isUsableName(std::string(1, '\0')));
}
