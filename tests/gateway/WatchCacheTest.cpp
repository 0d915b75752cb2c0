#include "gateway/process/WatchCache.h"

#include "support/Names.h"
#include "wire/common/Clock.h"

#include <catch2/catch.hpp>
#include <utility>

using namespace havenstair;

namespace {

/// A store that keeps reads and watches open until the test answers them.
class ManualStore : public CoordinationStore {
public:
  void range(const std::string &, ReadKind Kind, ItemsDone Callback) override {
    m_Kinds.push_back(Kind);
    m_Reads.push_back(std::move(Callback));
  }
  std::shared_ptr<void> watch(const std::string &, StoreRevision After,
                              Duration, ChangesDone Callback) override {
    m_WatchRevisions.push_back(After);
    m_Watch = std::move(Callback);
    return nullptr;
  }
  void transact(const StoreTransaction &, WriteDone) override {}
  void grantLease(Duration, LeaseDone) override {}
  void renewLease(LeaseId, Done) override {}
  void revokeLease(LeaseId, Done) override {}

  /// Answers the open watch: nothing has changed up to \p At.
  void endWatchUnchanged(StoreRevision At) {
    const ChangesDone Done = std::exchange(m_Watch, {});
    Done({.m_Status = StoreStatus::Ok, .m_Changes = {}, .m_At = At});
  }

  /// Revisions after which the watches asked for changes.
  std::vector<StoreRevision> m_WatchRevisions;
  ChangesDone m_Watch;
  std::vector<ReadKind> m_Kinds;
  std::vector<ItemsDone> m_Reads;
};

} // namespace

TEST_CASE("Only one read is in flight, however often one is requested",
          "[gateway][mirror]") {
  EventLoop Loop;
  ManualStore Store;
  int Changes = 0;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"},
                   {.m_Changed = [&] { ++Changes; }});
  Cache.readOnce(ReadKind::Stale);
  Cache.readOnce(ReadKind::Current);
  REQUIRE(Cache.reading());
  REQUIRE(Store.m_Reads.size() == 1);
  Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                         .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                         .m_At = revision(5)});
  REQUIRE(Changes == 1);
  REQUIRE_FALSE(Cache.reading());
  SECTION("the next one is made once the first has been answered") {
    Cache.readOnce(ReadKind::Current);
    REQUIRE(Store.m_Kinds ==
            std::vector<ReadKind>{ReadKind::Stale, ReadKind::Current});
  }
  SECTION("a read without changes is not reported as a change") {
    Cache.readOnce(ReadKind::Current);
    Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                          .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                          .m_At = revision(9)});
    REQUIRE(Changes == 1);
    // The copy has that read's revision, which other boxes compare.
    REQUIRE(Cache.revision() == revision(9));
  }
}

TEST_CASE("A read in flight is not abandoned", "[gateway][mirror]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  const auto Answer = [&] {
    Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                           .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                           .m_At = revision(5)});
  };
  SECTION("when the box begins to watch") {
    Cache.readOnce(ReadKind::Current);
    Cache.start();
    REQUIRE(Store.m_Reads.size() == 1);
    Answer();
    REQUIRE(Store.m_WatchRevisions == std::vector<StoreRevision>{revision(5)});
  }
  SECTION("when it begins to follow another box") {
    Cache.start();
    Cache.stop();
    Cache.readOnce(ReadKind::Current);
    REQUIRE(Store.m_Reads.size() == 1);
    Answer();
    REQUIRE(Cache.revision() == revision(5));
    REQUIRE(Store.m_WatchRevisions.empty());
  }
  SECTION("when the cache is to be read anew") {
    Cache.start();
    Cache.resync();
    REQUIRE(Store.m_Reads.size() == 1);
    Store.m_Reads.front()({.m_Status = StoreStatus::Lost});
    REQUIRE(Loop.runUntil([&] { return Store.m_Reads.size() == 2; }, 20s));
  }
}

TEST_CASE("The outcome of each read is reported", "[gateway][mirror]") {
  EventLoop Loop;
  ManualStore Store;
  std::vector<WatchCache::ReadOutcome> Ends;
  WatchCache Cache(
      Loop, Store,
      {.m_Prefix = "p",
       .m_Retry = {.m_First = 100ms,
                   .m_Cap = 1s,
                   .m_Random = [] { return 1.0; }}},
      {.m_Changed = [] {},
       .m_ReadEnded = [&](const auto &End) { Ends.push_back(End); }});
  Cache.start();
  Store.m_Reads.back()({.m_Status = StoreStatus::Refused});
  REQUIRE(Ends.size() == 1);
  REQUIRE(Ends.back().m_Status == StoreStatus::Refused);
  REQUIRE(Ends.back().m_NextTry > 0us);
  Cache.resync();
  Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                        .m_Items = {{.m_Key = "p/a", .m_Value = "12"}},
                        .m_At = revision(5)});
  REQUIRE(Ends.size() == 2);
  REQUIRE(Ends.back().m_Status == StoreStatus::Ok);
  REQUIRE(Ends.back().m_Bytes == 2);
  REQUIRE(Ends.back().m_At == revision(5));
}

TEST_CASE("A change that a watch missed is delivered by the next ones",
          "[gateway][mirror]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  Cache.start();
  Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                         .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                         .m_At = revision(5)});
  // There was a change at 7, and the watch ends without it.
  Store.endWatchUnchanged(revision(9));
  Store.endWatchUnchanged(revision(12));
  REQUIRE(Store.m_WatchRevisions == std::vector<StoreRevision>(3, revision(5)));
  SECTION("and revisions without changes for long are not requested again") {
    Clock::skip(3s);
    Store.endWatchUnchanged(revision(30));
    REQUIRE(Store.m_WatchRevisions.back() == revision(9));
    Clock::skip(3s);
    Store.endWatchUnchanged(revision(60));
    REQUIRE(Store.m_WatchRevisions.back() == revision(30));
  }
}

TEST_CASE("Partial and whole lists are never taken for each other",
          "[gateway][mirror]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  const auto MakeDelta = [](std::uint64_t Since, std::uint64_t To, bool Part,
                            const std::string &Key) {
    return WatchCache::Delta{.m_Since =
                                 Since == 0 ? StoreRevision() : revision(Since),
                             .m_Revision = revision(To),
                             .m_Part = Part,
                             .m_Items = {{.m_Key = Key, .m_Value = "1"}},
                             .m_Gone = {}};
  };
  REQUIRE(Cache.adopt(MakeDelta(0, 5, true, "p/a")));
  REQUIRE(Cache.partial());
  SECTION("changes of the other kind are rejected") {
    REQUIRE_FALSE(Cache.adopt(MakeDelta(5, 6, false, "p/b")));
    REQUIRE(Cache.items().size() == 1);
    REQUIRE(Cache.adopt(MakeDelta(5, 6, true, "p/b")));
    REQUIRE(Cache.items().size() == 2);
  }
  SECTION("a change outside the part only raises the revision") {
    int Changes = 0;
    WatchCache Other(Loop, Store, {.m_Prefix = "p"},
                     {.m_Changed = [&] { ++Changes; }});
    REQUIRE(Other.adopt(MakeDelta(0, 5, true, "p/a")));
    REQUIRE(Other.adopt(
        {.m_Since = revision(5), .m_Revision = revision(6), .m_Part = true}));
    REQUIRE(Other.revision() == revision(6));
    REQUIRE(Changes == 1);
  }
  SECTION("a whole list replaces it, even at the same revision") {
    REQUIRE(Cache.adopt(MakeDelta(0, 5, false, "p/b")));
    REQUIRE_FALSE(Cache.partial());
    REQUIRE(Cache.items().contains("p/b"));
    REQUIRE(Cache.items().size() == 1);
  }
  SECTION("but an older one does not") {
    REQUIRE(Cache.adopt(MakeDelta(0, 4, false, "p/b")));
    REQUIRE(Cache.partial());
  }
  SECTION("and a list read from the store is whole") {
    Cache.readOnce(ReadKind::Current);
    Store.m_Reads.front()({.m_Status = StoreStatus::Ok,
                           .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                           .m_At = revision(6)});
    REQUIRE_FALSE(Cache.partial());
  }
}

TEST_CASE("A part that turns out to be the whole list is a change, or a relay "
          "sends its leaves an empty list",
          "[gateway][mirror][recover]") {
  EventLoop Loop;
  ManualStore Store;
  int Changes = 0;
  bool PartAtChange = true;
  WatchCache *Changed = nullptr;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [&] {
                     ++Changes;
                     PartAtChange = Changed->partial();
                   }});
  Changed = &Cache;
  const StoreItem Only{.m_Key = "p/a", .m_Value = "1"};
  REQUIRE(Cache.adopt({.m_Since = {},
                       .m_Revision = revision(5),
                       .m_Part = true,
                       .m_Items = {Only},
                       .m_Gone = {}}));
  REQUIRE(Changes == 1);
  Cache.readOnce(ReadKind::Current);
  Store.m_Reads.back()(
      {.m_Status = StoreStatus::Ok, .m_Items = {Only}, .m_At = revision(5)});
  REQUIRE(Changes == 2);
  REQUIRE_FALSE(PartAtChange);
}

TEST_CASE("A list that a box reads itself is not mixed with a leaf's part, or "
          "what both lack stays lost",
          "[gateway][mirror][recover]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store, {.m_Prefix = "p"}, {.m_Changed = [] {}});
  Cache.start();
  Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                        .m_Items = {{.m_Key = "p/a", .m_Value = "1"}},
                        .m_At = revision(5)});
  REQUIRE(Cache.adopt({.m_Since = {},
                       .m_Revision = revision(6),
                       .m_Part = true,
                       .m_Items = {},
                       .m_Gone = {}}));
  const auto Watch = std::exchange(Store.m_Watch, {});
  Watch({.m_Status = StoreStatus::Ok,
         .m_Changes = {{.m_Key = "p/b",
                        .m_Value = "1",
                        .m_Revision = revision(7)}},
         .m_At = revision(7)});
  REQUIRE(Cache.items().contains("p/a"));
  REQUIRE(Cache.items().contains("p/b"));
  REQUIRE_FALSE(Cache.partial());
}

TEST_CASE("A box that the store does not answer takes a part until it can read",
          "[gateway][mirror][recover]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store,
                   {.m_Prefix = "p",
                    .m_Retry = {.m_First = 100ms,
                                .m_Cap = 1s,
                                .m_Random = [] { return 1.0; }}},
                   {.m_Changed = [] {}});
  const StoreItem Both[] = {{.m_Key = "p/a", .m_Value = "1"},
                            {.m_Key = "p/b", .m_Value = "1"}};
  Cache.start();
  const auto AdoptPart = [&] {
    REQUIRE(Cache.adopt({.m_Since = {},
                         .m_Revision = revision(6),
                         .m_Part = true,
                         .m_Items = {Both[0]},
                         .m_Gone = {}}));
    REQUIRE(Cache.items().contains("p/a"));
  };
  SECTION("after a call that failed") {
    Store.m_Reads.back()({.m_Status = StoreStatus::Lost});
    AdoptPart();
  }
  SECTION("also where the read that is under way is older than the part") {
    AdoptPart();
    Store.m_Reads.back()(
        {.m_Status = StoreStatus::Ok, .m_Items = {}, .m_At = revision(5)});
    REQUIRE(Cache.partial());
  }
  REQUIRE(Loop.runUntil([&] { return Store.m_Reads.size() == 2; }, 20s));
  REQUIRE(Store.m_WatchRevisions.empty());
  Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                        .m_Items = {Both[0], Both[1]},
                        .m_At = revision(6)});
  REQUIRE(Cache.items().size() == 2);
  REQUIRE_FALSE(Cache.partial());
}

TEST_CASE("A copy follows the store into a new era, and never back",
          "[gateway][mirror][store-restore]") {
  EventLoop Loop;
  ManualStore Store;
  WatchCache Cache(Loop, Store,
                   {.m_Prefix = "p",
                    .m_Retry = {.m_First = 100ms,
                                .m_Cap = 1s,
                                .m_Random = [] { return 1.0; }}},
                   {.m_Changed = [] {}});
  const auto Answer = [&](StoreRevision At, const std::string &Key) {
    Store.m_Reads.back()({.m_Status = StoreStatus::Ok,
                          .m_Items = {{.m_Key = Key, .m_Value = "1"}},
                          .m_At = At});
  };
  Cache.start();
  Answer(revision(90), "p/a");
  SECTION("a read at a lower number of a later era replaces it") {
    Cache.resync();
    Answer(revision(5, 2), "p/b");
    REQUIRE(Cache.revision() == revision(5, 2));
    REQUIRE(Cache.items().contains("p/b"));
    REQUIRE_FALSE(Cache.items().contains("p/a"));
    REQUIRE(Store.m_WatchRevisions.back() == revision(5, 2));
  }
  SECTION("other boxes are sent all of it, not the difference of two eras") {
    Cache.takeChanges();
    Cache.resync();
    Answer(revision(5, 2), "p/b");
    const WatchCache::Delta Changes = Cache.takeChanges();
    REQUIRE(Changes.m_Since.none());
    REQUIRE(Changes.m_Items.size() == 1);
  }
  SECTION("changes that continue another era are not merged") {
    REQUIRE_FALSE(Cache.adopt({.m_Since = revision(80),
                               .m_Revision = revision(100, 2),
                               .m_Items = {{.m_Key = "p/b"}}}));
    REQUIRE(Cache.adopt({.m_Since = {},
                         .m_Revision = revision(4, 2),
                         .m_Items = {{.m_Key = "p/b"}}}));
    REQUIRE(Cache.adopt({.m_Since = {},
                         .m_Revision = revision(300),
                         .m_Items = {{.m_Key = "p/z"}}}));
    REQUIRE(Cache.revision() == revision(4, 2));
    REQUIRE_FALSE(Cache.items().contains("p/z"));
  }
  SECTION(
      "reads that end below the copy, and watches that are refused, pause") {
    const std::size_t Before = Store.m_Reads.size();
    Cache.resync();
    Answer(revision(5), "p/b");
    REQUIRE(Cache.revision() == revision(90));
    const auto Refused = std::exchange(Store.m_Watch, {});
    Refused({.m_Status = StoreStatus::HistoryGone});
    REQUIRE(Store.m_Reads.size() == Before + 1);
    REQUIRE(
        Loop.runUntil([&] { return Store.m_Reads.size() == Before + 2; }, 20s));
  }
  SECTION("a value that is kept is what other boxes are sent") {
    const std::uint64_t Changes = Cache.changes();
    Cache.keep({.m_Key = "p/a", .m_Value = "kept"});
    REQUIRE(Cache.changes() > Changes);
    REQUIRE(Cache.snapshot().m_Items.front().m_Value == "kept");
  }
}
