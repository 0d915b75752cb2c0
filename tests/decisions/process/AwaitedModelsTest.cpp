#include "decisions/process/AwaitedModels.h"
#include "support/Names.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const ModelKey Model{.m_Service = "s", .m_Model = "m", .m_Adapter = ""};
const ModelKey First{.m_Service = "s", .m_Model = "m", .m_Adapter = "z"};
const ModelKey Second{.m_Service = "s", .m_Model = "m", .m_Adapter = "a"};
const ModelKey Elsewhere{.m_Service = "t", .m_Model = "o", .m_Adapter = "a"};

bool nowhere(const ModelKey &) { return false; }

} // namespace

TEST_CASE("A request for an adapter waits for its model too", "[awaited]") {
  AwaitedModels Awaited;
  Awaited.add({First, Elsewhere}, at(0s));
  REQUIRE(Awaited.models("s") == std::set<std::string>{"m"});
  REQUIRE(Awaited.models("t") == std::set<std::string>{"o"});
  REQUIRE(Awaited.models("u").empty());
}

TEST_CASE("A request for a model alone waits for no adapter", "[awaited]") {
  AwaitedModels Awaited;
  Awaited.add({Model}, at(0s));
  REQUIRE(Awaited.models("s") == std::set<std::string>{"m"});
  REQUIRE(Awaited.adapters("s").empty());
}

TEST_CASE("A repeated request keeps the place that its adapter had first",
          "[awaited]") {
  AwaitedModels Awaited;
  Awaited.add({First}, at(0s));
  Awaited.add({Second}, at(1s));
  Awaited.add({First}, at(2s));
  REQUIRE(Awaited.adapters("s") ==
          std::vector<AdapterKey>{{"m", "z"}, {"m", "a"}});
}

TEST_CASE("An adapter is forgotten five seconds after the last request for it",
          "[awaited]") {
  AwaitedModels Awaited;
  Awaited.add({First, Second}, at(0s));
  Awaited.add({First}, at(3s));
  Awaited.expire(nowhere, at(5s));
  REQUIRE(Awaited.adapters("s").size() == 2);
  Awaited.expire(nowhere, at(5001ms));
  REQUIRE(Awaited.adapters("s") == std::vector<AdapterKey>{{"m", "z"}});
  Awaited.expire(nowhere, at(8001ms));
  REQUIRE(Awaited.models("s").empty());
}

TEST_CASE("What an engine holds is no longer awaited", "[awaited]") {
  AwaitedModels Awaited;
  Awaited.add({Model, First}, at(0s));
  Awaited.expire([](const ModelKey &Key) { return Key == First; }, at(1s));
  REQUIRE(Awaited.adapters("s").empty());
  REQUIRE(Awaited.models("s") == std::set<std::string>{"m"});
}
