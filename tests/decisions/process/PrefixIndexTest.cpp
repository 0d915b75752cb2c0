#include "decisions/process/PrefixIndex.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

RequestDescriptor prompt(std::vector<PromptPart> Parts,
                         const std::string &Model = "m") {
  RequestDescriptor Result;
  Result.m_Model = Model;
  Result.m_Prompt = std::move(Parts);
  return Result;
}

} // namespace

TEST_CASE("A cached part counts only together with every part before it",
          "[prefix]") {
  PrefixIndex Index(1e6);
  Index.recordRead("e", prompt({{"a", 100}, {"b", 50}}));
  REQUIRE(Index.cachedTokens("e", prompt({{"a", 100}, {"b", 50}})) == 150);
  REQUIRE(Index.cachedTokens("e", prompt({{"a", 100}, {"c", 9}})) == 100);
  REQUIRE(Index.cachedTokens("e", prompt({{"x", 1}, {"a", 100}})) == 0);
  REQUIRE(Index.cachedTokens("f", prompt({{"a", 100}})) == 0);
}

TEST_CASE("Models and adapters share no cached parts", "[prefix]") {
  PrefixIndex Index(1e6);
  Index.recordRead("e", prompt({{"a", 100}}));
  REQUIRE(Index.cachedTokens("e", prompt({{"a", 100}}, "other")) == 0);
  RequestDescriptor WithAdapter = prompt({{"a", 100}});
  WithAdapter.m_Adapter = "a1";
  REQUIRE(Index.cachedTokens("e", WithAdapter) == 0);
}

TEST_CASE("The least recently used parts are dropped first", "[prefix]") {
  PrefixIndex Index(250);
  Index.recordRead("e", prompt({{"a", 100}}));
  Index.recordRead("e", prompt({{"b", 100}}));
  Index.recordRead("e", prompt({{"a", 100}}));
  Index.recordRead("e", prompt({{"c", 100}}));
  REQUIRE(Index.cachedTokens("e", prompt({{"a", 100}})) == 100);
  REQUIRE(Index.cachedTokens("e", prompt({{"b", 100}})) == 0);
  Index.forget("e");
  REQUIRE(Index.cachedTokens("e", prompt({{"a", 100}})) == 0);
}

TEST_CASE("The shared key leaves out the request's own part", "[prefix]") {
  REQUIRE(PrefixIndex::sharedKey(prompt({{"a", 1}, {"own-1", 2}})) ==
          PrefixIndex::sharedKey(prompt({{"a", 1}, {"own-2", 2}})));
  REQUIRE(PrefixIndex::sharedKey(prompt({{"a", 1}, {"own", 2}})) !=
          PrefixIndex::sharedKey(prompt({{"b", 1}, {"own", 2}})));
}
