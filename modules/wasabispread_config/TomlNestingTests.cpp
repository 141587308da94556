/*
 * Tests of the limit on the nesting of TOML text.
 */
#include "TableReader.h"
#include "TomlNesting.h"

#include <tests/support/SeededCheck.h>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;
using namespace wasabispread::testing;

namespace {

/** The number of levels of tables and arrays below a node. */
std::size_t
Depth(const toml::node& aNode)
{
  std::size_t deepest = 0;
  if (const auto* table = aNode.as_table()) {
    for (const auto& [key, value] : *table) {
      deepest = std::max(deepest, 1 + Depth(value));
    }
  } else if (const auto* array = aNode.as_array()) {
    for (const toml::node& value : *array) {
      deepest = std::max(deepest, 1 + Depth(value));
    }
  }
  return deepest;
}

std::string
Brackets(std::size_t aCount)
{
  return "x = " + std::string(aCount, '[') + std::string(aCount, ']');
}

std::string
Key(std::size_t aDots)
{
  std::string key;
  for (std::size_t dots = aDots; dots != 0; --dots) {
    key += "a.";
  }
  return key + "a = 1";
}

bool
IsAccepted(std::string aText, const std::string& aLastLine)
{
  aText += aLastLine;
  return ParseToml(aText, "t").has_value();
}

} // namespace

class TomlNestingTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TomlNestingTests);
  CPPUNIT_TEST(AcceptsTheMostLevels);
  CPPUNIT_TEST(RejectsMoreLevels);
  CPPUNIT_TEST(IgnoresStringsAndComments);
  CPPUNIT_TEST(NamesThePosition);
  CPPUNIT_TEST(BoundsTheDepthOfAnyText);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsTheMostLevels()
  {
    CPPUNIT_ASSERT(ParseToml(Brackets(kMaxTomlNesting), "t").has_value());
    CPPUNIT_ASSERT(ParseToml(Key(kMaxTomlNesting), "t").has_value());
  }

  void RejectsMoreLevels()
  {
    CPPUNIT_ASSERT(!ParseToml(Brackets(kMaxTomlNesting + 1), "t").has_value());
    CPPUNIT_ASSERT(!ParseToml(Key(kMaxTomlNesting + 1), "t").has_value());
    CPPUNIT_ASSERT(!ParseToml("[" + Key(1'000'000), "t").has_value());
  }

  void IgnoresStringsAndComments()
  {
    const std::string deep(kMaxTomlNesting + 1, '[');
    const std::vector<std::string> texts{
      "x = \"" + deep + "\\\"" + deep + "\"\n",
      "x = '" + deep + "'\n",
      "x = \"\"\"" + deep + "\n\"\"" + deep + "\"\"\"\"\"\n",
      "x = '''" + deep + "\n''" + deep + "'''''\n",
      "x = 1 # " + deep + "\n"
    };
    for (const std::string& text : texts) {
      CPPUNIT_ASSERT_MESSAGE(text, IsAccepted(text, "y = 2"));
      CPPUNIT_ASSERT_MESSAGE(text, !IsAccepted(text, "y = " + deep));
    }
  }

  void NamesThePosition()
  {
    const auto parsed =
      ParseToml("a = 1\n" + Brackets(kMaxTomlNesting + 1), "t");
    CPPUNIT_ASSERT(!parsed.has_value());
    const Fault& fault = parsed.error().front();
    CPPUNIT_ASSERT_EQUAL(2U, static_cast<unsigned>(fault.mLine));
    CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(4 + kMaxTomlNesting + 1),
                         static_cast<unsigned>(fault.mColumn));
  }

  void BoundsTheDepthOfAnyText()
  {
    // A header, and in each bracket a key.
    constexpr std::size_t kDeepest =
      (kMaxTomlNesting + 1) * (kMaxTomlNesting + 2);
    CPPUNIT_ASSERT(SeededCheck("nesting is bounded", 20261206, 2000, [&] {
      std::string text;
      const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("[",
                                      "]",
                                      "{",
                                      "}",
                                      "a",
                                      "b",
                                      ".",
                                      "=",
                                      ",",
                                      "\n",
                                      "\"",
                                      "'",
                                      "\\",
                                      "#",
                                      "1",
                                      "\"\"\"",
                                      "'''",
                                      "a=",
                                      "a.b={c=",
                                      "x = [",
                                      "[[t]]\n"));
      for (const std::string& piece : pieces) {
        text += piece;
      }
      const auto parsed = ParseToml(text, "t");
      const std::size_t depth = parsed ? Depth(*parsed) : 0;
      RC_ASSERT(depth <= kDeepest);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TomlNestingTests);
