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

using Names = std::vector<InstanceId>;

bool Nobody(const InstanceId & /*Id*/) { return false; }

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
  View.told("a", {{.m_Name = "m", .m_Adapters = {"a1", "a2"}}}, {}, at(2s));
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
  View.told("a", {{.m_Name = "m", .m_Adapters = {}}}, {"m"}, at(1s));
  REQUIRE(names(View, at(2s)) == Names{"b"});
  View.told("a", {{.m_Name = "m", .m_Adapters = {}}}, {}, at(2s));
  REQUIRE(names(View, at(2s)) == Names{"a", "b"});
}

TEST_CASE("The next load of a model is known until it is long overdue",
          "[view]") {
  ServingView View;
  View.update(list(1, {engine("a", false, "x"), engine("b", false, "x")}),
              at(1s));
  REQUIRE_FALSE(View.servesAt("s", "m", Nobody, at(1s)));
  View.toldLoad("a", "m", at(6s));
  View.toldLoad("b", "m", at(4s));
  REQUIRE(View.servesAt("s", "m", Nobody, at(1s)) == at(4s));
  REQUIRE_FALSE(View.servesAt("other", "m", Nobody, at(1s)));
  REQUIRE_FALSE(View.servesAt("s", "n", Nobody, at(1s)));
  SECTION("it is given up") {
    View.toldLoad("b", "", at(0s));
    REQUIRE(View.servesAt("s", "m", Nobody, at(1s)) == at(6s));
  }
  SECTION("its engine has gone") {
    View.update(list(2, {engine("a", false, "x")}), at(2s));
    REQUIRE(View.servesAt("s", "m", Nobody, at(2s)) == at(6s));
  }
  SECTION("it has come") {
    View.told("b", {{.m_Name = "m", .m_Adapters = {}}}, {}, at(4s));
    REQUIRE(View.servesAt("s", "m", Nobody, at(4s)) == at(6s));
  }
  SECTION("it does not come") {
    REQUIRE_FALSE(View.servesAt("s", "m", Nobody, at(10s)));
  }
}
