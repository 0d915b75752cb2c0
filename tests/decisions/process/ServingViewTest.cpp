#include "decisions/process/ServingView.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

UpstreamInstance engine(const std::string &Id, bool Draining = false,
                        const std::string &Model = "m") {
  UpstreamInstance Result;
  Result.m_Id = Id;
  Result.m_Service = "s";
  Result.m_Draining = Draining;
  Result.m_Models = {{.m_Name = Model, .m_Adapters = {"a1"}}};
  return Result;
}

using Names = std::vector<InstanceId>;

InstanceList list(std::uint64_t Revision,
                  const std::vector<UpstreamInstance> &All) {
  InstanceList Result{.m_Revision = revision(Revision), .m_Instances = {}};
  for (const UpstreamInstance &Each : All)
    Result.m_Instances.emplace(Each.m_Id, Each);
  return Result;
}

std::vector<InstanceId> names(const ServingView &View, TimePoint Now,
                              const std::string &Adapter = "") {
  std::vector<InstanceId> Result;
  for (const UpstreamInstance *Each : View.candidates(
           "s", "m", Adapter, [](const InstanceId &) { return false; }, Now))
    Result.push_back(Each->m_Id);
  return Result;
}

UpstreamInstance startedAt(UpstreamInstance Engine, StartTime At) {
  Engine.m_StartTime = At;
  return Engine;
}

Names idsOf(const std::vector<UpstreamInstance> &All) {
  Names Result;
  for (const UpstreamInstance &Each : All)
    Result.push_back(Each.m_Id);
  return Result;
}

bool nobody(const InstanceId & /*Id*/) { return false; }

} // namespace

TEST_CASE("A leaving upstream gets no request while another can run it",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", true), engine("b")}), at(1s));
  REQUIRE(names(View, at(1s)) == Names{"b"});
}

TEST_CASE("The only upstream is used for a moment after it starts leaving",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a")}), at(1s));
  const bool Gone = GENERATE(false, true);
  View.update(Gone ? list(2, {}) : list(2, {engine("a", true)}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a"});
  REQUIRE(names(View, at(2s) + 401ms).empty());
}

TEST_CASE("An update of a leaving upstream does not restart its grace period",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", true)}), at(1s));
  View.update(list(2, {engine("a", true, "other")}), at(2s));
  REQUIRE(names(View, at(2s)).empty());
}

TEST_CASE("An older list never replaces a newer one", "[view]") {
  ServingView View;
  View.update(list(5, {engine("b")}), at(1s));
  View.update(list(4, {engine("a")}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
}

TEST_CASE("A report of the leader overrides a list that lags", "[view]") {
  ServingView View;
  View.update(list(1, {engine("a")}), at(1s));
  REQUIRE(names(View, at(1s), "a2").empty());
  View.recordLeaderReport({"a"}, {{.m_Name = "m", .m_Adapters = {"a1", "a2"}}},
                          {}, at(2s));
  REQUIRE(names(View, at(2s), "a2") == Names{"a"});
  View.update(list(2, {engine("a", false, "other")}), at(3s));
  REQUIRE(names(View, at(3s)) == Names{"a"});
  SECTION("and expires when the leader has fallen silent") {
    View.update(list(3, {engine("a", false, "third")}), at(9s));
    REQUIRE(names(View, at(9s)).empty());
  }
}

TEST_CASE("A model that is being retired takes no new requests", "[view]") {
  ServingView View;
  View.update(list(1, {engine("a"), engine("b")}), at(1s));
  View.recordLeaderReport({"a"}, {{.m_Name = "m", .m_Adapters = {}}}, {"m"},
                          at(1s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
  View.recordLeaderReport({"a"}, {{.m_Name = "m", .m_Adapters = {}}}, {},
                          at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a", "b"});
}

TEST_CASE("The next load of a model is known until it is long overdue",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", false, "x"), engine("b", false, "x")}),
              at(1s));
  REQUIRE_FALSE(View.servesAt("s", "m", nobody, at(1s)));
  View.recordLeaderLoad({"a"}, "m", at(6s));
  View.recordLeaderLoad({"b"}, "m", at(4s));
  REQUIRE(View.servesAt("s", "m", nobody, at(1s)) == at(4s));
  REQUIRE_FALSE(View.servesAt("other", "m", nobody, at(1s)));
  REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(1s)));
  SECTION("the load is cancelled") {
    View.recordLeaderLoad({"b"}, "", at(0s));
    REQUIRE(View.servesAt("s", "m", nobody, at(1s)) == at(6s));
  }
  SECTION("its engine is gone") {
    View.update(list(2, {engine("a", false, "x")}), at(2s));
    REQUIRE(View.servesAt("s", "m", nobody, at(2s)) == at(6s));
  }
  SECTION("the load is done") {
    View.recordLeaderReport({"b"}, {{.m_Name = "m", .m_Adapters = {}}}, {},
                            at(4s));
    REQUIRE(View.servesAt("s", "m", nobody, at(4s)) == at(6s));
  }
  SECTION("the load is long overdue") {
    REQUIRE_FALSE(View.servesAt("s", "m", nobody, at(10s)));
  }
}

namespace {

UpstreamInstance engineIn(const std::string &Id,
                          const std::string &DataCentre) {
  UpstreamInstance Result = engine(Id);
  Result.m_Zone = DataCentre;
  return Result;
}

Evacuations evacuations(std::uint64_t Revision,
                        std::set<DataCentreName> DataCentres) {
  return {.m_Revision = revision(Revision),
          .m_DataCentres = std::move(DataCentres)};
}

} // namespace

TEST_CASE("Upstreams of an evacuated data centre get no requests",
          "[view][evacuation]") {
  ServingView View;
  View.update(list(1, {engineIn("a", "x"), engineIn("b", "y")}), at(1s));
  REQUIRE(View.setEvacuations(evacuations(5, {DataCentreName("x")}), at(1s)));
  REQUIRE(names(View, at(1s)) == Names{"b"});

  SECTION("also not as a last resort") {
    View.update(list(2, {engineIn("a", "x")}), at(2s));
    View.setEvacuations(
        evacuations(6, {DataCentreName("x"), DataCentreName("y")}), at(2s));
    REQUIRE(names(View, at(2s)).empty());
  }
  SECTION("and no request waits for a load there") {
    View.recordLeaderLoad({"a"}, "m2", at(3s));
    REQUIRE_FALSE(View.servesAt("s", "m2", nobody, at(1s)));
  }
  SECTION("an older revision does not undo it") {
    REQUIRE_FALSE(View.setEvacuations(evacuations(4, {}), at(2s)));
    REQUIRE(names(View, at(2s)) == Names{"b"});
  }
  SECTION("until it ends, which is remembered") {
    REQUIRE(View.setEvacuations(evacuations(6, {}), at(2s)));
    REQUIRE(names(View, at(2s)) == Names{"a", "b"});
    REQUIRE(View.evacuationEndedAt(engineIn("a", "x")) == at(2s));
    REQUIRE_FALSE(View.evacuationEndedAt(engineIn("b", "y")));
  }
  SECTION("and again when it is evacuated once more") {
    View.setEvacuations(evacuations(6, {}), at(2s));
    View.setEvacuations(evacuations(7, {DataCentreName("x")}), at(2s) + 300ms);
    REQUIRE(names(View, at(3s)) == Names{"b"});
    REQUIRE_FALSE(View.evacuationEndedAt(engineIn("a", "x")));
  }
}

TEST_CASE(
    "The newest revision of evacuations wins, in whatever order they arrive",
    "[view][evacuation]") {
  rc::prop("the state is that of the highest revision", [] {
    std::vector<Evacuations> Updates;
    for (std::uint64_t Revision = 1; Revision <= 6; ++Revision) {
      std::set<DataCentreName> Asked;
      for (const char *Name : {"x", "y"})
        if (*drawn(0, 1) == 1)
          Asked.emplace(Name);
      Updates.push_back(evacuations(Revision, std::move(Asked)));
    }
    ServingView View;
    std::uint64_t Newest = 0;
    for (int Count = 0; Count < 12; ++Count) {
      const int Index = *drawn(0, 5);
      const Evacuations &Each = Updates[static_cast<std::size_t>(Index)];
      View.setEvacuations(Each, at(1s));
      Newest = std::max(Newest, Each.m_Revision.m_Number);
    }
    RC_ASSERT(View.evacuations() ==
              Updates[static_cast<std::size_t>(Newest - 1)]);
  });
}

TEST_CASE("State of an upstream is discarded when it has started again",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {startedAt(engine("a"), 100)}), at(1s));
  View.recordLeaderReport({"a", 100}, {{.m_Name = "m", .m_Adapters = {"a2"}}},
                          {}, at(1s));
  View.recordLeaderLoad({"a", 100}, "n", at(3s));
  SECTION("while it stayed listed") {
    const auto Gone =
        View.update(list(2, {startedAt(engine("a", false, "x"), 200)}), at(2s));
    REQUIRE(idsOf(Gone) == Names{"a"});
    REQUIRE(Gone.front().m_StartTime == 100);
  }
  SECTION("after it was unlisted, despite reports on it since") {
    REQUIRE(idsOf(View.update(list(2, {}), at(2s))) == Names{"a"});
    View.recordLeaderReport({"a", 100}, {{.m_Name = "m", .m_Adapters = {}}}, {},
                            at(2s));
    View.recordLeaderLoad({"a", 100}, "n", at(3s));
    REQUIRE(
        idsOf(View.update(list(3, {startedAt(engine("a", false, "x"), 200)}),
                          at(2s))) == Names{"a"});
  }
  REQUIRE(View.superseded({"a", 100}));
  REQUIRE_FALSE(View.superseded({"a", 200}));
  REQUIRE(names(View, at(2s)).empty());
  REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(2s)));
}

TEST_CASE("An incarnation before the newest known one is never used again",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {startedAt(engine("a", false, "x"), 200)}), at(1s));
  SECTION("in a later list: the newest entry holds") {
    REQUIRE(View.update(list(2, {startedAt(engine("a", true), 100)}), at(1s))
                .empty());
    REQUIRE(View.find("a")->m_StartTime == 200);
    REQUIRE_FALSE(View.find("a")->m_Draining);
  }
  SECTION("in a later list, after it was unlisted") {
    View.update(list(2, {}), at(1s));
    View.update(list(3, {startedAt(engine("a"), 100)}), at(1s));
    REQUIRE_FALSE(View.current().contains("a"));
  }
  SECTION("in a report of the leader") {
    View.recordLeaderReport({"a", 100}, {{.m_Name = "m", .m_Adapters = {}}}, {},
                            at(1s));
    View.recordLeaderLoad({"a", 100}, "n", at(3s));
    REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(1s)));
  }
  REQUIRE(names(View, at(1s)).empty());
}

TEST_CASE("An upstream whose new incarnation is only reported gets no requests "
          "until it is listed",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {startedAt(engine("a"), 100)}), at(1s));
  const bool Unlisted = GENERATE(false, true);
  if (Unlisted)
    View.update(list(2, {}), at(1s));
  REQUIRE(names(View, at(1s)) == Names{"a"});
  View.recordLeaderReport({"a", 200}, {{.m_Name = "m", .m_Adapters = {"a2"}}},
                          {}, at(1s));
  REQUIRE(names(View, at(1s)).empty());
  REQUIRE_FALSE(View.superseded({"a", 100}));
  REQUIRE(idsOf(View.update(list(3, {startedAt(engine("a", false, "x"), 200)}),
                            at(1s))) == Names{"a"});
  REQUIRE(names(View, at(1s), "a2") == Names{"a"});
}

TEST_CASE("Draining of an earlier incarnation does not affect a later one",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {startedAt(engine("a", true), 100)}), at(1s));
  View.update(list(2, {startedAt(engine("a"), 200)}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a"});
  SECTION("whose own draining has a grace period of its own") {
    View.update(list(3, {startedAt(engine("a", true), 200)}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a"});
    REQUIRE(names(View, at(3s) + 401ms).empty());
  }
  SECTION("not even when it drains from its first entry on") {
    View.update(list(3, {startedAt(engine("a", true), 300)}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a"});
  }
}

TEST_CASE("An upstream without a start time is identified by its name",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {startedAt(engine("a"), 100)}), at(1s));
  REQUIRE(View.update(list(2, {engine("a")}), at(1s)).empty());
  REQUIRE(names(View, at(1s)) == Names{"a"});
  REQUIRE(View.update(list(3, {startedAt(engine("a"), 100)}), at(1s)).empty());
}

TEST_CASE("A leaving notice overrides any list for the rest of the incarnation",
          "[view][server-leaving]") {
  ServingView View;
  const UpstreamInstance First = startedAt(engine("a"), 1);
  View.update(list(1, {First, engine("b")}), at(1s));
  View.markLeaving(First.incarnation(), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
  REQUIRE(View.isLeaving(View.list().m_Instances.at("a")));
  SECTION("a newer list that says otherwise") {
    View.update(list(2, {First, engine("b")}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"b"});
    REQUIRE(View.isLeaving(View.list().m_Instances.at("a")));
  }
  SECTION("also when it is the only one, after a grace period") {
    ServingView Alone;
    Alone.update(list(1, {First}), at(1s));
    Alone.markLeaving(First.incarnation(), at(2s));
    REQUIRE(names(Alone, at(2s)) == Names{"a"});
    REQUIRE(names(Alone, at(2s) + 401ms).empty());
    Alone.update(list(2, {First}), at(3s));
    REQUIRE(names(Alone, at(3s)).empty());
  }
  SECTION("a list without it, and then with it again") {
    View.update(list(2, {engine("b")}), at(3s));
    View.update(list(3, {First, engine("b")}), at(4s));
    REQUIRE(names(View, at(4s)) == Names{"b"});
  }
  SECTION(
      "but not for a later incarnation, nor by a late notice of the earlier") {
    View.update(list(2, {startedAt(engine("a"), 2), engine("b")}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a", "b"});
    View.markLeaving(First.incarnation(), at(4s));
    REQUIRE(names(View, at(4s)) == Names{"a", "b"});
  }
}

TEST_CASE("A leaving notice that arrives before the list holds", "[view]") {
  ServingView View;
  View.markLeaving(engine("a").incarnation(), at(1s));
  View.update(list(1, {engine("a"), engine("b")}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
}

TEST_CASE("What was acknowledged of upstreams before a restore holds on",
          "[view][store-restore]") {
  const auto Restored = [](const std::vector<UpstreamInstance> &All,
                           std::uint64_t Number = 1) {
    InstanceList Result = list(Number, All);
    Result.m_Revision.m_Era = FirstEra + 1;
    return Result;
  };
  ServingView View;
  View.update(list(8, {engine("a"), engine("b"), engine("leaving", true)}),
              at(1s));
  SECTION("a list of the era before is older, whatever its revision") {
    View.update(Restored({engine("a")}), at(2s));
    View.update(list(9, {engine("a"), engine("z")}), at(2s));
    REQUIRE_FALSE(View.list().m_Instances.contains("z"));
  }
  SECTION("one that was leaving leaves, though the copy says otherwise") {
    View.update(Restored({engine("a"), engine("b"), engine("leaving")}),
                at(2s));
    REQUIRE(names(View, at(2s)) == Names{"a", "b"});
    View.update(Restored({engine("a"), engine("b"), engine("leaving")}, 30),
                at(100s));
    REQUIRE(names(View, at(100s)) == Names{"a", "b"});
  }
  SECTION("one that the copy lacks is used until it should have come back") {
    View.update(Restored({engine("a")}), at(2s));
    REQUIRE(names(View, at(2s)) == Names{"a", "b"});
    REQUIRE(View.nextReconciliation(at(2s)) == at(5s));
    View.update(Restored({engine("a")}), at(5s));
    REQUIRE(names(View, at(6s)) == Names{"a"});
    REQUIRE_FALSE(View.nextReconciliation(at(5s)));
  }
  SECTION("one that is listed again may leave for good at once") {
    View.update(Restored({engine("a")}), at(2s));
    View.update(Restored({engine("a"), engine("b")}, 2), at(3s));
    View.update(Restored({engine("a")}, 3), at(3s));
    REQUIRE(names(View, at(4s)) == Names{"a"});
  }
  SECTION("one that had left is not used") {
    View.update(list(9, {engine("a")}), at(2s));
    View.update(Restored({engine("a"), engine("b")}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a"});
    SECTION("until it writes its entry again") {
      UpstreamInstance Written = engine("b");
      Written.m_Slots = 7;
      View.update(Restored({engine("a"), Written}, 2), at(4s));
      REQUIRE(names(View, at(4s)) == Names{"a", "b"});
    }
    SECTION("until it starts again") {
      View.update(Restored({engine("a"), startedAt(engine("b"), 7)}, 2),
                  at(4s));
      REQUIRE(names(View, at(4s)) == Names{"a", "b"});
    }
    SECTION("until the store would have dropped an upstream that has ended") {
      View.update(Restored({engine("a"), engine("b")}), at(13s));
      REQUIRE(names(View, at(13s)) == Names{"a", "b"});
    }
  }
  SECTION("also through a second restore within the recovery of the first") {
    View.update(Restored({engine("a")}), at(2s));
    InstanceList Second = Restored({engine("a")});
    ++Second.m_Revision.m_Era;
    View.update(Second, at(4s));
    View.update(Second, at(6s));
    REQUIRE(names(View, at(6s)) == Names{"a", "b"});
  }
}

TEST_CASE(
    "An evacuation that a restored store lacks stays in force for a while",
    "[view][evacuation][store-restore]") {
  const DataCentreName Here("x");
  const auto Restored = [](std::uint64_t Number,
                           std::set<DataCentreName> DataCentres) {
    Evacuations Result = evacuations(Number, std::move(DataCentres));
    Result.m_Revision.m_Era = FirstEra + 1;
    return Result;
  };
  ServingView View;
  View.setEvacuations(evacuations(9, {Here}), at(1s));
  View.setEvacuations(Restored(3, {}), at(2s));
  REQUIRE(View.evacuations().contains(Here));
  REQUIRE(View.evacuationsKeptUntil() == at(12s));
  SECTION("and ends when operators do not request it again") {
    View.setEvacuations(Restored(3, {}), at(12s));
    REQUIRE_FALSE(View.evacuations().contains(Here));
    REQUIRE_FALSE(View.evacuationsKeptUntil());
  }
  SECTION("and ends like any other once it was requested again") {
    View.setEvacuations(Restored(4, {Here}), at(3s));
    View.setEvacuations(Restored(5, {}), at(4s));
    REQUIRE_FALSE(View.evacuations().contains(Here));
  }
}
