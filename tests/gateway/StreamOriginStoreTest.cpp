#include "gateway/process/StreamOriginStore.h"
#include "gateway/common/DecisionLog.h"
#include "platform/StoreClient.h"
#include "standin/StandinStore.h"
#include "wire/common/HttpClient.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <optional>
#include <set>
#include <string>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
const std::string Prefix = "streams/";

/// The store, one box that writes to it, and one that reads there.
class StoredStreams {
public:
  void begin(const std::string &Attempt, const std::string &Software = "v1",
             Duration Left = 60s) {
    m_Writer.record(
        {.m_Attempt = Attempt, .m_Origin = origin(Software), .m_Left = Left},
        EventLoop::now());
  }

  static StreamOrigin origin(const std::string &Software) {
    return {.m_Service = "s",
            .m_Software = SoftwareVersion(Software),
            .m_Request = RequestDigest("d")};
  }

  bool until(const std::function<bool()> &Done) {
    return m_Loop.runUntil(Done, Limit);
  }

  bool stored(const std::string &Attempt) {
    return until([&] { return m_Store.mentions('"' + Attempt + '"'); });
  }

  StreamOriginStore::Found read(const std::string &Attempt) {
    std::optional<StreamOriginStore::Found> Result;
    m_Reader.find(Attempt, [&](const auto &Found) { Result = Found; });
    REQUIRE(until([&] { return Result.has_value(); }));
    return *Result;
  }

  StreamOrigins::Knowledge find(const std::string &Attempt) {
    return read(Attempt).m_Stream;
  }

  EventLoop m_Loop;
  StandinStore m_Store{m_Loop};
  HttpClient m_Http{m_Loop};
  StoreEraTracker m_Eras{
      {.m_Changed = [](const auto &) {}, .m_Ignored = [](const auto &) {}}};
  platform::StoreClient m_Client{m_Http, m_Store.endpoint(), m_Eras};
  DecisionLog m_Log{m_Loop, {.m_Descriptor = open("/dev/null", O_WRONLY)}};
  bool m_Needed = true;
  StreamOriginStore::Hooks m_Hooks{
      .m_Needed = [this](const auto &, TimePoint) { return m_Needed; },
      .m_AnyNeeded = [this](TimePoint) { return m_Needed; },
      .m_Writers = [] { return std::size_t{1}; }};
  StreamOriginStore m_Writer{m_Loop,
                             m_Client,
                             m_Log,
                             {.m_Prefix = Prefix, .m_Process = "box.1"},
                             m_Hooks};
  StreamOriginStore m_Reader{m_Loop,
                             m_Client,
                             m_Log,
                             {.m_Prefix = Prefix, .m_Process = "box.2"},
                             m_Hooks};
};

} // namespace

TEST_CASE("How a stream began is found after its box has ended",
          "[stream-version]") {
  StoredStreams Test;
  Test.begin("one");
  Test.begin("two", "v2");
  REQUIRE(Test.stored("two"));
  REQUIRE(Test.find("one").m_Origin == StoredStreams::origin("v1"));
  REQUIRE(Test.find("two").m_Origin == StoredStreams::origin("v2"));
  REQUIRE(Test.find("three") == StreamOrigins::Knowledge{});
}

TEST_CASE("Streams are not written while their service has one version, and "
          "those that live when it gets a second one are",
          "[stream-version]") {
  StoredStreams Test;
  Test.m_Needed = false;
  Test.begin("one");
  Test.m_Writer.refresh(EventLoop::now());
  Test.find("one");
  REQUIRE(Test.m_Store.count(Prefix) == 0);
  Test.m_Needed = true;
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE(Test.stored("one"));
}

TEST_CASE("The store names a process before a stream of it has to be written",
          "[stream-version]") {
  StoredStreams Test;
  const auto Announced = [&] {
    return Test.m_Writer.announced(EventLoop::now());
  };
  Test.m_Needed = false;
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE_FALSE(Announced());
  Test.m_Needed = true;
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE(Test.until(Announced));
  const StreamOriginStore::Found Found = Test.read("none");
  REQUIRE(Found.m_Read);
  REQUIRE(Found.m_Writers == std::set<std::string>{"box.1"});
}

TEST_CASE("A process is named anew in a store that came back from a copy",
          "[stream-version]") {
  StoredStreams Test;
  const auto Announced = [&] {
    return Test.m_Writer.announced(EventLoop::now());
  };
  Test.m_Writer.observeEra(1);
  Test.m_Store.keepCopy();
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE(Test.until(Announced));
  Test.m_Store.restore(0us);
  REQUIRE(Test.m_Store.count(Prefix) == 0);
  Test.m_Writer.observeEra(2);
  REQUIRE_FALSE(Announced());
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE(Test.until(Announced));
  REQUIRE(Test.m_Store.count(Prefix) == 1);
}

TEST_CASE("A process whose write of the first key is refused is not named",
          "[stream-version]") {
  StoredStreams Test;
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  Test.m_Writer.refresh(EventLoop::now());
  const std::size_t Calls = Test.m_Store.calls();
  REQUIRE(Test.until([&] { return Test.m_Store.calls() > Calls; }));
  REQUIRE_FALSE(Test.m_Writer.announced(EventLoop::now()));
  REQUIRE_FALSE(Test.read("none").m_Read);
  Test.m_Store.setFault(StandinStore::Fault::None);
  Test.m_Writer.refresh(EventLoop::now());
  REQUIRE(
      Test.until([&] { return Test.m_Writer.announced(EventLoop::now()); }));
}

TEST_CASE("More streams than one key holds are all written",
          "[stream-version]") {
  constexpr int Streams = 1200;
  StoredStreams Test;
  for (int Index = 0; Index < Streams; ++Index)
    Test.begin("id-" + std::to_string(Index));
  REQUIRE(Test.stored("id-" + std::to_string(Streams - 1)));
  for (int Index = 0; Index < Streams; ++Index)
    REQUIRE(Test.find("id-" + std::to_string(Index)).m_Origin);
  REQUIRE(Test.m_Store.count(Prefix) >= 3);
}

TEST_CASE("Batches whose streams are all over leave the store",
          "[stream-version]") {
  constexpr int Streams = 20;
  constexpr Duration Left = 2s;
  StoredStreams Test;
  for (int Index = 0; Index < Streams; ++Index)
    Test.begin("short-" + std::to_string(Index), "v1", Left);
  const TimePoint Over = EventLoop::now() + Left;
  REQUIRE(Test.stored("short-" + std::to_string(Streams - 1)));
  Test.begin("long");
  REQUIRE(Test.stored("long"));
  REQUIRE(Test.until([&] { return EventLoop::now() > Over; }));
  Test.begin("new");
  REQUIRE(Test.stored("new"));
  REQUIRE(Test.m_Store.count(Prefix) == 1);
  REQUIRE(Test.m_Store.mentions("\"long\""));
}

TEST_CASE("A write of streams that fails is made again", "[stream-version]") {
  StoredStreams Test;
  const auto Fault =
      GENERATE(StandinStore::Fault::Refuses, StandinStore::Fault::LosesAnswer);
  Test.m_Store.setFault(Fault);
  Test.begin("one");
  const std::size_t Calls = Test.m_Store.calls();
  REQUIRE(Test.until([&] { return Test.m_Store.calls() > Calls; }));
  Test.m_Store.setFault(StandinStore::Fault::None);
  REQUIRE(Test.stored("one"));
  Test.begin("two");
  REQUIRE(Test.stored("two"));
  REQUIRE(Test.m_Store.mentions("\"one\""));
}

TEST_CASE("Two different origins of one stream leave it unknown",
          "[stream-version]") {
  StoredStreams Test;
  Test.begin("one", "v1");
  Test.begin("one", "v2");
  REQUIRE(Test.stored("one"));
  const auto Found = Test.find("one");
  REQUIRE(Found.m_Contradicted);
  REQUIRE_FALSE(Found.m_Origin);
}

TEST_CASE("A stream is unknown, and nobody waits on, while the store does not "
          "answer",
          "[stream-version]") {
  StoredStreams Test;
  Test.begin("one");
  REQUIRE(Test.stored("one"));
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  const StreamOriginStore::Found Found = Test.read("one");
  REQUIRE_FALSE(Found.m_Read);
  REQUIRE(Found.m_Stream == StreamOrigins::Knowledge{});
}

TEST_CASE("A stream is found although the first read of the store fails",
          "[stream-version]") {
  StoredStreams Test;
  Test.begin("one");
  REQUIRE(Test.stored("one"));
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  const std::size_t Calls = Test.m_Store.calls();
  std::optional<StreamOriginStore::Found> Found;
  Test.m_Reader.find("one", [&](const auto &Result) { Found = Result; });
  REQUIRE(Test.until([&] { return Test.m_Store.calls() > Calls; }));
  Test.m_Store.setFault(StandinStore::Fault::None);
  REQUIRE(Test.until([&] { return Found.has_value(); }));
  REQUIRE(Found->m_Stream.m_Origin == StoredStreams::origin("v1"));
}

TEST_CASE("A stream that was stored after a read is found right behind it",
          "[stream-version]") {
  StoredStreams Test;
  REQUIRE(Test.find("one") == StreamOrigins::Knowledge{});
  Test.begin("one");
  REQUIRE(Test.stored("one"));
  REQUIRE(Test.find("one").m_Origin == StoredStreams::origin("v1"));
}

// The store may carry out a write that it did not answer seconds later.
TEST_CASE("A write of streams whose answer is lost is not made under the same "
          "key again",
          "[stream-version]") {
  StoredStreams Test;
  Test.begin("one");
  REQUIRE(Test.stored("one"));
  Test.m_Store.setFault(StandinStore::Fault::LosesAnswer);
  Test.begin("two");
  REQUIRE(Test.stored("two"));
  Test.begin("three");
  REQUIRE(Test.stored("three"));
  REQUIRE(Test.m_Store.count(Prefix) == 2);
}
