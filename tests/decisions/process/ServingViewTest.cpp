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
  InstanceList Result{.m_Revision = Revision, .m_Instances = {}};
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

UpstreamInstance born(UpstreamInstance Of, UpstreamBirth At) {
  Of.m_Born = At;
  return Of;
}

Names idsOf(const std::vector<UpstreamInstance> &All) {
  Names Result;
  for (const UpstreamInstance &Each : All)
    Result.push_back(Each.m_Id);
  return Result;
}

bool nobody(const InstanceId & /*Id*/) { return false; }

} // namespace

TEST_CASE("A leaving upstream gets nothing while another can run the request",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", true), engine("b")}), at(1s));
  REQUIRE(names(View, at(1s)) == Names{"b"});
}

TEST_CASE("The only upstream is used for a moment after it began to leave",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a")}), at(1s));
  const bool Gone = GENERATE(false, true);
  View.update(Gone ? list(2, {}) : list(2, {engine("a", true)}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a"});
  REQUIRE(names(View, at(2s) + 401ms).empty());
}

TEST_CASE("News of a leaving upstream does not begin its time anew", "[view]") {
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

TEST_CASE("The order giver's word holds over the list that lags", "[view]") {
  ServingView View;
  View.update(list(1, {engine("a")}), at(1s));
  REQUIRE(names(View, at(1s), "a2").empty());
  View.told({"a"}, {{.m_Name = "m", .m_Adapters = {"a1", "a2"}}}, {}, at(2s));
  REQUIRE(names(View, at(2s), "a2") == Names{"a"});
  View.update(list(2, {engine("a", false, "other")}), at(3s));
  REQUIRE(names(View, at(3s)) == Names{"a"});
  SECTION("and gives way when the giver has fallen silent") {
    View.update(list(3, {engine("a", false, "third")}), at(9s));
    REQUIRE(names(View, at(9s)).empty());
  }
}

TEST_CASE("A model that retires takes no new requests", "[view]") {
  ServingView View;
  View.update(list(1, {engine("a"), engine("b")}), at(1s));
  View.told({"a"}, {{.m_Name = "m", .m_Adapters = {}}}, {"m"}, at(1s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
  View.told({"a"}, {{.m_Name = "m", .m_Adapters = {}}}, {}, at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a", "b"});
}

TEST_CASE("The next load of a model is known until it is long overdue",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", false, "x"), engine("b", false, "x")}),
              at(1s));
  REQUIRE_FALSE(View.servesAt("s", "m", nobody, at(1s)));
  View.toldLoad({"a"}, "m", at(6s));
  View.toldLoad({"b"}, "m", at(4s));
  REQUIRE(View.servesAt("s", "m", nobody, at(1s)) == at(4s));
  REQUIRE_FALSE(View.servesAt("other", "m", nobody, at(1s)));
  REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(1s)));
  SECTION("it is given up") {
    View.toldLoad({"b"}, "", at(0s));
    REQUIRE(View.servesAt("s", "m", nobody, at(1s)) == at(6s));
  }
  SECTION("its engine has gone") {
    View.update(list(2, {engine("a", false, "x")}), at(2s));
    REQUIRE(View.servesAt("s", "m", nobody, at(2s)) == at(6s));
  }
  SECTION("it has come") {
    View.told({"b"}, {{.m_Name = "m", .m_Adapters = {}}}, {}, at(4s));
    REQUIRE(View.servesAt("s", "m", nobody, at(4s)) == at(6s));
  }
  SECTION("it does not come") {
    REQUIRE_FALSE(View.servesAt("s", "m", nobody, at(10s)));
  }
}

namespace {

UpstreamInstance standing(const std::string &Id,
                          const std::string &DataCentre) {
  UpstreamInstance Result = engine(Id);
  Result.m_Zone = DataCentre;
  return Result;
}

Evacuations evacuated(std::uint64_t Revision,
                      std::set<DataCentreName> DataCentres) {
  return {.m_Revision = Revision, .m_DataCentres = std::move(DataCentres)};
}

} // namespace

TEST_CASE("An evacuated data centre's upstreams get nothing",
          "[view][evacuation]") {
  ServingView View;
  View.update(list(1, {standing("a", "x"), standing("b", "y")}), at(1s));
  REQUIRE(View.evacuate(evacuated(5, {DataCentreName("x")}), at(1s)));
  REQUIRE(names(View, at(1s)) == Names{"b"});

  SECTION("also not as a last resort") {
    View.update(list(2, {standing("a", "x")}), at(2s));
    View.evacuate(evacuated(6, {DataCentreName("x"), DataCentreName("y")}),
                  at(2s));
    REQUIRE(names(View, at(2s)).empty());
  }
  SECTION("and no load there is waited for") {
    View.toldLoad({"a"}, "m2", at(3s));
    REQUIRE_FALSE(View.servesAt("s", "m2", nobody, at(1s)));
  }
  SECTION("older news do not undo it") {
    REQUIRE_FALSE(View.evacuate(evacuated(4, {}), at(2s)));
    REQUIRE(names(View, at(2s)) == Names{"b"});
  }
  SECTION("until it is taken back, which is remembered") {
    REQUIRE(View.evacuate(evacuated(6, {}), at(2s)));
    REQUIRE(names(View, at(2s)) == Names{"a", "b"});
    REQUIRE(View.returnedAt(standing("a", "x")) == at(2s));
    REQUIRE_FALSE(View.returnedAt(standing("b", "y")));
  }
  SECTION("and again when it is evacuated once more") {
    View.evacuate(evacuated(6, {}), at(2s));
    View.evacuate(evacuated(7, {DataCentreName("x")}), at(2s) + 300ms);
    REQUIRE(names(View, at(3s)) == Names{"b"});
    REQUIRE_FALSE(View.returnedAt(standing("a", "x")));
  }
}

TEST_CASE("The newest news of evacuations win, in whichever order they come",
          "[view][evacuation]") {
  rc::prop("the state is that of the highest revision", [] {
    std::vector<Evacuations> News;
    for (std::uint64_t Revision = 1; Revision <= 6; ++Revision) {
      std::set<DataCentreName> Asked;
      for (const char *Name : {"x", "y"})
        if (*drawn(0, 1) == 1)
          Asked.emplace(Name);
      News.push_back(evacuated(Revision, std::move(Asked)));
    }
    ServingView View;
    std::uint64_t Newest = 0;
    for (int Count = 0; Count < 12; ++Count) {
      const int Index = *drawn(0, 5);
      const Evacuations &Each = News[static_cast<std::size_t>(Index)];
      View.evacuate(Each, at(1s));
      Newest = std::max(Newest, Each.m_Revision);
    }
    RC_ASSERT(View.evacuations() == News[static_cast<std::size_t>(Newest - 1)]);
  });
}

TEST_CASE("An upstream that has started again is gone and new",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {born(engine("a"), 100)}), at(1s));
  View.told({"a", 100}, {{.m_Name = "m", .m_Adapters = {"a2"}}}, {}, at(1s));
  View.toldLoad({"a", 100}, "n", at(3s));
  SECTION("though it never left the list") {
    const auto Gone =
        View.update(list(2, {born(engine("a", false, "x"), 200)}), at(2s));
    REQUIRE(idsOf(Gone) == Names{"a"});
    REQUIRE(Gone.front().m_Born == 100);
  }
  SECTION("after it had left, whatever was heard of it since") {
    REQUIRE(idsOf(View.update(list(2, {}), at(2s))) == Names{"a"});
    View.told({"a", 100}, {{.m_Name = "m", .m_Adapters = {}}}, {}, at(2s));
    View.toldLoad({"a", 100}, "n", at(3s));
    REQUIRE(idsOf(View.update(list(3, {born(engine("a", false, "x"), 200)}),
                              at(2s))) == Names{"a"});
  }
  REQUIRE(View.past({"a", 100}));
  REQUIRE_FALSE(View.past({"a", 200}));
  REQUIRE(names(View, at(2s)).empty());
  REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(2s)));
}

TEST_CASE("An earlier start than the newest seen is never believed again",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {born(engine("a", false, "x"), 200)}), at(1s));
  SECTION("in a later list: the newest entry holds") {
    REQUIRE(
        View.update(list(2, {born(engine("a", true), 100)}), at(1s)).empty());
    REQUIRE(View.find("a")->m_Born == 200);
    REQUIRE_FALSE(View.find("a")->m_Draining);
  }
  SECTION("in a later list, after it had left") {
    View.update(list(2, {}), at(1s));
    View.update(list(3, {born(engine("a"), 100)}), at(1s));
    REQUIRE_FALSE(View.current().contains("a"));
  }
  SECTION("in the order giver's word") {
    View.told({"a", 100}, {{.m_Name = "m", .m_Adapters = {}}}, {}, at(1s));
    View.toldLoad({"a", 100}, "n", at(3s));
    REQUIRE_FALSE(View.servesAt("s", "n", nobody, at(1s)));
  }
  REQUIRE(names(View, at(1s)).empty());
}

TEST_CASE("An upstream whose new start is only told of takes nothing until it "
          "is listed",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {born(engine("a"), 100)}), at(1s));
  const bool Left = GENERATE(false, true);
  if (Left)
    View.update(list(2, {}), at(1s));
  REQUIRE(names(View, at(1s)) == Names{"a"});
  View.told({"a", 200}, {{.m_Name = "m", .m_Adapters = {"a2"}}}, {}, at(1s));
  REQUIRE(names(View, at(1s)).empty());
  REQUIRE_FALSE(View.past({"a", 100}));
  REQUIRE(idsOf(View.update(list(3, {born(engine("a", false, "x"), 200)}),
                            at(1s))) == Names{"a"});
  REQUIRE(names(View, at(1s), "a2") == Names{"a"});
}

TEST_CASE("The drain mark of a former start does not bind the new one",
          "[view][lives]") {
  ServingView View;
  View.update(list(1, {born(engine("a", true), 100)}), at(1s));
  View.update(list(2, {born(engine("a"), 200)}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a"});
  SECTION("and its own mark has its own time") {
    View.update(list(3, {born(engine("a", true), 200)}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a"});
    REQUIRE(names(View, at(3s) + 401ms).empty());
  }
  SECTION("not even when it drains from the first word on") {
    View.update(list(3, {born(engine("a", true), 300)}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a"});
  }
}

TEST_CASE("Who tells no birth is judged by name", "[view][lives]") {
  ServingView View;
  View.update(list(1, {born(engine("a"), 100)}), at(1s));
  REQUIRE(View.update(list(2, {engine("a")}), at(1s)).empty());
  REQUIRE(names(View, at(1s)) == Names{"a"});
  REQUIRE(View.update(list(3, {born(engine("a"), 100)}), at(1s)).empty());
}

TEST_CASE(
    "What a server says of its leaving holds against any list, for its life",
    "[view][server-leaving]") {
  ServingView View;
  const UpstreamInstance First = born(engine("a"), 1);
  View.update(list(1, {First, engine("b")}), at(1s));
  View.saidLeaving(First.life(), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
  REQUIRE(View.leaves(View.list().m_Instances.at("a")));
  SECTION("a newer list that says otherwise") {
    View.update(list(2, {First, engine("b")}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"b"});
    REQUIRE(View.leaves(View.list().m_Instances.at("a")));
  }
  SECTION("also when it is the last one, but for a moment") {
    ServingView Alone;
    Alone.update(list(1, {First}), at(1s));
    Alone.saidLeaving(First.life(), at(2s));
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
  SECTION("not for a later life, nor by a late word of the former") {
    View.update(list(2, {born(engine("a"), 2), engine("b")}), at(3s));
    REQUIRE(names(View, at(3s)) == Names{"a", "b"});
    View.saidLeaving(First.life(), at(4s));
    REQUIRE(names(View, at(4s)) == Names{"a", "b"});
  }
}

TEST_CASE("A word of leaving that comes before the list holds", "[view]") {
  ServingView View;
  View.saidLeaving(engine("a").life(), at(1s));
  View.update(list(1, {engine("a"), engine("b")}), at(2s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
}
