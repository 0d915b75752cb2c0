#include "gateway/process/PrefixMirror.h"

#include "wire/common/Clock.h"

#include <catch2/catch.hpp>
#include <utility>

using namespace havenstair;

namespace {

/// Keeps reads unanswered until the test answers them.
class HeldStore : public CoordinationStore {
public:
  void range(const std::string &, ReadKind Kind, ItemsDone Callback) override {
    m_Kinds.push_back(Kind);
    m_Reads.push_back(std::move(Callback));
  }
  std::shared_ptr<void> watch(const std::string &, StoreRevision After,
                              Duration, ChangesDone Callback) override {
    m_After.push_back(After);
    m_Watch = std::move(Callback);
    return nullptr;
  }
  void transact(const StoreTransaction &, WriteDone) override {}
  void grantLease(Duration, LeaseDone) override {}
  void keepLease(LeaseId, Done) override {}
  void endLease(LeaseId, Done) override {}

  /// Answers the watch that waits: nothing has changed up to \p At.
  void quiet(StoreRevision At) {
    const ChangesDone Done = std::exchange(m_Watch, {});
    Done({.m_Status = StoreStatus::Ok, .m_Changes = {}, .m_At = At});
  }

  std::vector<StoreRevision> m_After; ///< Of the watches.
  ChangesDone m_Watch;
  std::vector<ReadKind> m_Kinds;
  std::vector<ItemsDone> m_Reads;
};

} // namespace

TEST_CASE("One read at a time, however often it is asked for",
          "[gateway][mirror]") {
  EventLoop Loop;
  HeldStore Store;
  int Changes = 0;
  PrefixMirror Mirror(Loop, Store, {.m_Prefix = "p"},
                      {.m_Changed = [&] { ++Changes; }});
  Mirror.readOnce(ReadKind::Stale);
  Mirror.readOnce(ReadKind::Current);
  REQUIRE(Mirror.reading());
  REQUIRE(Store.m_Reads.size() == 1);
  Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                         .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                         .m_At = 5});
  REQUIRE(Changes == 1);
  REQUIRE_FALSE(Mirror.reading());
  SECTION("the next one is made once that has been answered") {
    Mirror.readOnce(ReadKind::Current);
    REQUIRE(Store.m_Kinds ==
            std::vector<ReadKind>{ReadKind::Stale, ReadKind::Current});
  }
  SECTION("a read that brings the same is no news") {
    Mirror.readOnce(ReadKind::Current);
    Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                          .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                          .m_At = 9});
    REQUIRE(Changes == 1);
    // But the copy is as new as that read: other boxes compare.
    REQUIRE(Mirror.revision() == 9);
  }
}

TEST_CASE("A read that is under way is not thrown away", "[gateway][mirror]") {
  EventLoop Loop;
  HeldStore Store;
  PrefixMirror Mirror(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  const auto Answer = [&] {
    Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                           .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                           .m_At = 5});
  };
  SECTION("when the box begins to watch") {
    Mirror.readOnce(ReadKind::Current);
    Mirror.start();
    REQUIRE(Store.m_Reads.size() == 1);
    Answer();
    REQUIRE(Store.m_After == std::vector<StoreRevision>{5});
  }
  SECTION("when it begins to follow another box") {
    Mirror.start();
    Mirror.stop();
    Mirror.readOnce(ReadKind::Current);
    REQUIRE(Store.m_Reads.size() == 1);
    Answer();
    REQUIRE(Mirror.revision() == 5);
    REQUIRE(Store.m_After.empty());
  }
  SECTION("when it is to be read anew") {
    Mirror.start();
    Mirror.resync();
    REQUIRE(Store.m_Reads.size() == 1);
    Store.m_Reads.front()({.m_Status = StoreStatus::Lost});
    REQUIRE(Loop.runUntil([&] { return Store.m_Reads.size() == 2; }, 20s));
  }
}

TEST_CASE("How each read ended is told", "[gateway][mirror]") {
  EventLoop Loop;
  HeldStore Store;
  std::vector<PrefixMirror::ReadEnd> Ends;
  PrefixMirror Mirror(
      Loop, Store,
      {.m_Prefix = "p",
       .m_Retry = {.m_First = 100ms,
                   .m_Cap = 1s,
                   .m_Random = [] { return 1.0; }}},
      {.m_Changed = [] {},
       .m_ReadEnded = [&](const auto &End) { Ends.push_back(End); }});
  Mirror.start();
  Store.m_Reads.back()({.m_Status = StoreStatus::Refused});
  REQUIRE(Ends.size() == 1);
  REQUIRE(Ends.back().m_Status == StoreStatus::Refused);
  REQUIRE(Ends.back().m_NextTry > 0us);
  Mirror.resync();
  Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                        .m_Items = {{.m_Key = "p/a", .m_Value = "12"}},
                        .m_At = 5});
  REQUIRE(Ends.size() == 2);
  REQUIRE(Ends.back().m_Status == StoreStatus::Ok);
  REQUIRE(Ends.back().m_Bytes == 2);
  REQUIRE(Ends.back().m_At == 5);
}

TEST_CASE("A change that a watch was not told of comes with the next ones",
          "[gateway][mirror]") {
  EventLoop Loop;
  HeldStore Store;
  PrefixMirror Mirror(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  Mirror.start();
  Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                         .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                         .m_At = 5});
  // At 7 there was a change, and the watch ends without it.
  Store.quiet(9);
  Store.quiet(12);
  REQUIRE(Store.m_After == std::vector<StoreRevision>{5, 5, 5});
  SECTION("and what has been quiet for long is not asked for again") {
    Clock::skip(3s);
    Store.quiet(30);
    REQUIRE(Store.m_After.back() == 9);
    Clock::skip(3s);
    Store.quiet(60);
    REQUIRE(Store.m_After.back() == 30);
  }
}

TEST_CASE("A part of a list is never taken for the whole, nor continued by it",
          "[gateway][mirror]") {
  EventLoop Loop;
  HeldStore Store;
  PrefixMirror Mirror(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  const auto News = [](StoreRevision Since, StoreRevision To, bool Part,
                       const std::string &Key) {
    return PrefixMirror::Delta{.m_Since = Since,
                               .m_Revision = To,
                               .m_Part = Part,
                               .m_Items = {{.m_Key = Key, .m_Value = "1"}},
                               .m_Gone = {}};
  };
  REQUIRE(Mirror.adopt(News(0, 5, true, "p/a")));
  REQUIRE(Mirror.part());
  SECTION("changes of the other kind are missing what they change") {
    REQUIRE_FALSE(Mirror.adopt(News(5, 6, false, "p/b")));
    REQUIRE(Mirror.items().size() == 1);
    REQUIRE(Mirror.adopt(News(5, 6, true, "p/b")));
    REQUIRE(Mirror.items().size() == 2);
  }
  SECTION("and a change elsewhere only makes it newer") {
    int Changes = 0;
    PrefixMirror Other(Loop, Store, {.m_Prefix = "p"},
                       {.m_Changed = [&] { ++Changes; }});
    REQUIRE(Other.adopt(News(0, 5, true, "p/a")));
    REQUIRE(Other.adopt({.m_Since = 5, .m_Revision = 6, .m_Part = true}));
    REQUIRE(Other.revision() == 6);
    REQUIRE(Changes == 1);
  }
  SECTION("the whole one takes its place, also as of the same revision") {
    REQUIRE(Mirror.adopt(News(0, 5, false, "p/b")));
    REQUIRE_FALSE(Mirror.part());
    REQUIRE(Mirror.items().contains("p/b"));
    REQUIRE(Mirror.items().size() == 1);
  }
  SECTION("but not an older one") {
    REQUIRE(Mirror.adopt(News(0, 4, false, "p/b")));
    REQUIRE(Mirror.part());
  }
  SECTION("and what is read from the store is whole") {
    Mirror.readOnce(ReadKind::Current);
    Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                           .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                           .m_At = 6});
    REQUIRE_FALSE(Mirror.part());
  }
}
