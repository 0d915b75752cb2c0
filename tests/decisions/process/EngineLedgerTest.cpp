#include "decisions/process/EngineLedger.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <deque>
#include <optional>

using namespace havenstair;

namespace {

constexpr double EngineMb = 220;
constexpr double ModelMb = 70;
constexpr int Capacity = 3;

std::string model(int Number) { return "m" + std::to_string(Number); }

EngineSpec spec() {
  EngineSpec Result;
  Result.m_WeightsMb = EngineMb;
  Result.m_AdapterCapacity = Capacity;
  for (int Number = 0; Number < 6; ++Number) {
    ModelSpec Model;
    Model.m_Name = model(Number);
    Model.m_SizeMb = ModelMb;
    Model.m_Adapters = 4;
    Model.m_AdapterMb = 1;
    Result.m_Models.push_back(Model);
  }
  return Result;
}

/// The oracle: an engine that carries out orders as documented.
class Engine {
public:
  struct Late {
    ResidencyOrder m_Order;
    std::uint64_t m_Expected = 0;
  };

  Engine() = default;
  /// An engine with \p Mb of memory for weights and adapters.
  explicit Engine(double Mb) : m_Mb(Mb) {}

  OrderAnswer take(const ResidencyOrder &Order, std::uint64_t Expected) {
    if (Expected != m_Count || m_UnderWay)
      return OrderAnswer::Busy;
    const bool OfAdapter = !Order.m_Adapter.empty();
    if (OfAdapter && !holds(Order.m_Model))
      return OrderAnswer::Refused;
    if (OfAdapter && Order.m_Load && m_Coming.size() >= 4)
      return OrderAnswer::Busy;
    if (Order.m_Load == present(Order))
      return OrderAnswer::AlreadyDone;
    ++m_Count;
    if (!OfAdapter) {
      m_UnderWay = Order;
      checkRoom(Order);
      return OrderAnswer::Accepted;
    }
    if (!Order.m_Load) {
      of(Order.m_Model)->m_Adapters.erase(Order.m_Adapter);
      return OrderAnswer::AlreadyDone;
    }
    m_Coming.push_back(Order);
    checkRoom(Order);
    return OrderAnswer::Accepted;
  }

  /// Completes everything that is under way.
  void finish() {
    for (const ResidencyOrder &Each : m_Coming)
      if (ResidentModel *Model = of(Each.m_Model))
        Model->m_Adapters.insert(Each.m_Adapter);
    m_Coming.clear();
    if (!m_UnderWay)
      return;
    if (m_UnderWay->m_Load)
      m_Models.push_back({.m_Name = m_UnderWay->m_Model, .m_Adapters = {}});
    else
      std::erase_if(m_Models, [&](const ResidentModel &Each) {
        return Each.m_Name == m_UnderWay->m_Model;
      });
    m_UnderWay.reset();
  }

  ResidencyReport report() const {
    ResidencyReport Result;
    Result.m_StartTime = m_StartTime;
    Result.m_OrderCount = m_Count;
    Result.m_OrderUnderWay = m_UnderWay.has_value();
    Result.m_Models = m_Models;
    for (const ResidencyOrder &Each : m_Coming)
      Result.m_Pending.push_back(
          {.m_Name = Each.m_Model, .m_Adapters = {Each.m_Adapter}});
    return Result;
  }

  bool overcommitted() const { return m_Overcommitted; }

  /// Restarts under the same name, with nothing loaded.
  void startAgain() {
    ++m_StartTime;
    m_Count = 0;
    m_Models.clear();
    m_Coming.clear();
    m_UnderWay.reset();
  }

private:
  ResidentModel *of(const std::string &Name) {
    for (ResidentModel &Each : m_Models)
      if (Each.m_Name == Name)
        return &Each;
    return nullptr;
  }
  bool holds(const std::string &Name) { return of(Name) != nullptr; }
  bool present(const ResidencyOrder &Order) {
    const ResidentModel *Found = of(Order.m_Model);
    return Found != nullptr && (Order.m_Adapter.empty() ||
                                Found->m_Adapters.contains(Order.m_Adapter));
  }
  void checkRoom(const ResidencyOrder &Order) {
    if (!Order.m_Load)
      return;
    std::size_t Adapters = m_Coming.size();
    std::size_t Models = m_Models.size() + (m_UnderWay ? 1 : 0);
    for (const ResidentModel &Each : m_Models)
      Adapters += Each.m_Adapters.size();
    const double Mb =
        static_cast<double>(Models) * ModelMb + static_cast<double>(Adapters);
    m_Overcommitted = m_Overcommitted || Mb > m_Mb || Adapters > Capacity;
  }

  double m_Mb = EngineMb;
  StartTime m_StartTime = 1;
  std::uint64_t m_Count = 0;
  std::vector<ResidentModel> m_Models{{.m_Name = model(0), .m_Adapters = {}}};
  std::vector<ResidencyOrder> m_Coming;
  std::optional<ResidencyOrder> m_UnderWay;
  bool m_Overcommitted = false;
};

ResidencyOrder drawnOrder() {
  ResidencyOrder Order;
  Order.m_Load = *drawn(0, 3) != 0;
  Order.m_Model = model(*drawn(0, 6));
  if (*rc::gen::arbitrary<bool>())
    Order.m_Adapter = "a" + std::to_string(*drawn(1, 5));
  return Order;
}

ResidencyOrder load(int Number) {
  return {.m_Load = true, .m_Model = model(Number), .m_Adapter = {}};
}

} // namespace

TEST_CASE("Orders never exceed an engine's memory, whatever is lost or late",
          "[orders][property][proof]") {
  rc::prop("memory", [] {
    const EngineSpec Spec = spec();
    Engine Real;
    EngineLedger Ledger;
    std::deque<Engine::Late> Late;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 120; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 900));
      switch (*drawn(0, 6)) {
      case 0:
      case 1: {
        const auto Again = Ledger.resend(Now);
        const ResidencyOrder Order = Again ? *Again : drawnOrder();
        if (!Ledger.allows(Order, Spec))
          break;
        const std::uint64_t Expected = Ledger.begin(Order, Now);
        switch (*drawn(0, 4)) {
        case 0: // It is carried out, and the answer is lost.
          Real.take(Order, Expected);
          Ledger.recordAnswer(OrderAnswer::Lost, Now);
          break;
        case 1: // It is carried out later, or never.
          Late.push_back({Order, Expected});
          Ledger.recordAnswer(OrderAnswer::Lost, Now);
          break;
        default:
          Ledger.recordAnswer(Real.take(Order, Expected), Now);
        }
        break;
      }
      case 2:
        if (!Late.empty()) {
          Real.take(Late.front().m_Order, Late.front().m_Expected);
          Late.pop_front();
        }
        break;
      case 3:
        Real.finish();
        break;
      default:
        Ledger.applyReport(Real.report(), Now);
      }
      RC_ASSERT(!Real.overcommitted());
    }
  });
}

TEST_CASE(
    "Late orders to former incarnations of an engine never exceed its memory",
    "[orders][property][proof][lives]") {
  rc::prop("memory over starts", [] {
    constexpr double Mb = 2 * ModelMb + Capacity;
    EngineSpec Spec = spec();
    Spec.m_WeightsMb = Mb;
    const Duration Lateness = EngineLedger::Options{}.m_OrderLife;
    Engine Real(Mb);
    EngineLedger Ledger;
    std::vector<std::pair<Engine::Late, TimePoint>> Late;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 200; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 300));
      Ledger.expireLateOrders(Now);
      std::erase_if(
          Late, [&](const auto &Each) { return Now - Each.second > Lateness; });
      switch (*drawn(0, 9)) {
      case 0:
      case 1:
      case 2: {
        const auto Again = Ledger.resend(Now);
        const ResidencyOrder Order = Again               ? *Again
                                     : *drawn(0, 2) != 0 ? load(*drawn(0, 6))
                                                         : drawnOrder();
        if (!Ledger.allows(Order, Spec))
          break;
        const std::uint64_t Expected = Ledger.begin(Order, Now);
        if (*drawn(0, 2) == 0) {
          Late.push_back({{Order, Expected}, Now});
          // The engine restarts before or after the call is given up.
          if (*drawn(0, 3) != 0)
            Ledger.recordAnswer(OrderAnswer::Lost, Now);
        } else {
          Ledger.recordAnswer(Real.take(Order, Expected), Now);
        }
        break;
      }
      case 3:
      case 4:
        // The worst order that may arrive: one that expects the right count.
        for (auto Each = Late.begin(); Each != Late.end(); ++Each)
          if (Each->first.m_Expected == Real.report().m_OrderCount) {
            Real.take(Each->first.m_Order, Each->first.m_Expected);
            Late.erase(Each);
            break;
          }
        break;
      case 5:
        Real.finish();
        break;
      case 6:
        if (*drawn(0, 2) == 0) {
          Real.startAgain();
          Ledger.onRestart(Now);
        }
        break;
      default:
        Ledger.recordAnswer(OrderAnswer::Lost, Now);
        Ledger.applyReport(Real.report(), Now);
      }
      RC_ASSERT(!Real.overcommitted());
    }
  });
}

TEST_CASE("An order under way at a restart may still be carried out after it",
          "[orders][lives]") {
  EngineSpec Spec = spec();
  Spec.m_WeightsMb = ModelMb;
  Engine Real(ModelMb);
  Real.startAgain();
  EngineLedger Ledger;
  Ledger.applyReport(Real.report(), at(0s));
  const bool Answered = GENERATE(false, true);
  Ledger.begin(load(1), at(0s));
  if (Answered)
    Ledger.recordAnswer(OrderAnswer::Lost, at(0s));
  Ledger.onRestart(at(1s));
  REQUIRE_FALSE(Ledger.known());
  Ledger.applyReport(Real.report(), at(1s));
  REQUIRE_FALSE(Ledger.allows(load(2), Spec));
  REQUIRE(Ledger.allows(load(1), Spec));
  Ledger.expireLateOrders(at(20s));
  REQUIRE(Ledger.allows(load(2), Spec));
}

TEST_CASE("Late loads together fit an engine that restarts empty",
          "[orders][lives]") {
  EngineSpec Spec = spec();
  Spec.m_WeightsMb = 2 * ModelMb;
  Engine Real(2 * ModelMb);
  Real.startAgain();
  EngineLedger Ledger;
  const auto CarryOut = [&](const ResidencyOrder &Order, bool AnswerLost) {
    Ledger.applyReport(Real.report(), at(0s));
    REQUIRE(Ledger.allows(Order, Spec));
    const OrderAnswer Answer = Real.take(Order, Ledger.begin(Order, at(0s)));
    Ledger.recordAnswer(AnswerLost ? OrderAnswer::Lost : Answer, at(0s));
    Real.finish();
    Ledger.applyReport(Real.report(), at(0s));
  };
  const ResidencyOrder Unload{
      .m_Load = false, .m_Model = model(1), .m_Adapter = {}};
  CarryOut(load(1), true);
  CarryOut(load(2), true);
  CarryOut(Unload, false);
  REQUIRE(Ledger.idle());
  REQUIRE_FALSE(Ledger.allows(load(3), Spec));
  REQUIRE(Ledger.allows(load(1), Spec));
  Ledger.expireLateOrders(at(20s));
  REQUIRE(Ledger.allows(load(3), Spec));
}

TEST_CASE(
    "A lower order count shows the restart of an engine without a start time",
    "[orders][lives]") {
  Engine Real;
  EngineLedger Ledger;
  const auto WithoutStartTime = [](ResidencyReport Report) {
    Report.m_StartTime = 0;
    return Report;
  };
  Ledger.applyReport(WithoutStartTime(Real.report()), at(0s), at(0s));
  Ledger.recordAnswer(Real.take(load(1), Ledger.begin(load(1), at(1s))),
                      at(2s));
  Real.finish();
  Ledger.applyReport(WithoutStartTime(Real.report()), at(3s), at(3s));
  Real.startAgain();
  SECTION("but not in an answer that may be from before") {
    Ledger.applyReport(WithoutStartTime(Real.report()), at(4s), at(3s));
    Ledger.applyReport(WithoutStartTime(Real.report()), at(4s), at(3s));
    REQUIRE(Ledger.count() == 1);
  }
  SECTION("when it is reported twice") {
    Ledger.applyReport(WithoutStartTime(Real.report()), at(5s), at(4s));
    REQUIRE(Ledger.count() == 1);
    REQUIRE(
        Ledger.applyReport(WithoutStartTime(Real.report()), at(6s), at(5s)));
    REQUIRE(Ledger.count() == 0);
    REQUIRE_FALSE(Ledger.holds(model(1)));
    REQUIRE(Ledger.allows(load(2), spec()));
  }
  SECTION("but not when the next report has the known count again") {
    const ResidencyReport Late = WithoutStartTime(Engine().report());
    ResidencyReport Known = WithoutStartTime(Real.report());
    Known.m_OrderCount = 1;
    Ledger.applyReport(Late, at(5s), at(4s));
    Ledger.applyReport(Known, at(6s), at(5s));
    Ledger.applyReport(Late, at(7s), at(6s));
    REQUIRE(Ledger.count() == 1);
  }
  SECTION("but not when the start time is reported") {
    REQUIRE_FALSE(Ledger.applyReport(Real.report(), at(5s), at(4s)));
    REQUIRE_FALSE(Ledger.applyReport(Real.report(), at(6s), at(5s)));
    REQUIRE(Ledger.count() == 1);
  }
}

TEST_CASE("Nothing is loaded while unknown late orders may arrive",
          "[orders][lives]") {
  EngineLedger Ledger;
  Ledger.blockLoadsUntil(at(9s));
  Ledger.onRestart(at(0s));
  Ledger.applyReport(Engine().report(), at(1s));
  REQUIRE_FALSE(Ledger.allows(load(1), spec()));
  Ledger.expireLateOrders(at(9s));
  REQUIRE(Ledger.allows(load(1), spec()));
}

TEST_CASE("Nothing is ordered before the engine has reported what it holds",
          "[orders]") {
  REQUIRE_FALSE(EngineLedger().allows(load(1), spec()));
}

TEST_CASE("An order without an answer is sent again before anything else",
          "[orders]") {
  EngineLedger Ledger;
  Ledger.applyReport(Engine().report(), at(0s));
  Ledger.begin(load(1), at(0s));
  Ledger.recordAnswer(OrderAnswer::Lost, at(1s));
  REQUIRE_FALSE(Ledger.allows(load(2), spec()));
  REQUIRE_FALSE(Ledger.resend(at(1s)));
  REQUIRE(Ledger.resend(at(2s)) == load(1));
  REQUIRE(Ledger.allows(load(1), spec()));
  SECTION("until the count has moved") {
    ResidencyReport Moved = Engine().report();
    Moved.m_OrderCount = 1;
    Ledger.applyReport(Moved, at(2s));
    REQUIRE_FALSE(Ledger.resend(at(3s)));
    REQUIRE(Ledger.allows(load(2), spec()));
  }
  SECTION("or the order is too old") {
    Ledger.applyReport(Engine().report(), at(5s));
    REQUIRE(Ledger.uncertain());
    Ledger.applyReport(Engine().report(), at(20s));
    REQUIRE_FALSE(Ledger.uncertain());
  }
}

TEST_CASE("A report that is older than an accepted order is dropped",
          "[orders]") {
  EngineLedger Ledger;
  Ledger.applyReport(Engine().report(), at(0s));
  Ledger.begin(load(1), at(0s));
  Ledger.recordAnswer(OrderAnswer::Accepted, at(0s));
  Ledger.applyReport(Engine().report(), at(1s));
  REQUIRE(Ledger.count() == 1);
  REQUIRE(Ledger.acceptedModelOrder() == load(1));
}

TEST_CASE("An adapter that no request uses is unloaded at once", "[orders]") {
  Engine Real;
  EngineLedger Ledger;
  Ledger.applyReport(Real.report(), at(0s));
  const ResidencyOrder Load{
      .m_Load = true, .m_Model = model(0), .m_Adapter = "a1"};
  const std::uint64_t Expected = Ledger.begin(Load, at(0s));
  Ledger.recordAnswer(Real.take(Load, Expected), at(0s));
  REQUIRE(Ledger.isLoading(model(0), "a1"));
  Real.finish();
  Ledger.applyReport(Real.report(), at(1s));
  REQUIRE(Ledger.holds(model(0), "a1"));
  const ResidencyOrder Unload{
      .m_Load = false, .m_Model = model(0), .m_Adapter = "a1"};
  Ledger.recordAnswer(Real.take(Unload, Ledger.begin(Unload, at(1s))), at(1s));
  REQUIRE_FALSE(Ledger.holds(model(0), "a1"));
  REQUIRE_FALSE(Ledger.needsReport());
  REQUIRE(Ledger.count() == Real.report().m_OrderCount);
}

TEST_CASE("A change in the list only makes a report necessary", "[orders]") {
  EngineLedger Ledger;
  Ledger.applyReport(Engine().report(), at(0s));
  UpstreamInstance Entry;
  Entry.m_Models = {{.m_Name = model(3), .m_Adapters = {}}};
  Ledger.applyListEntry(Entry);
  REQUIRE(Ledger.needsReport());
  REQUIRE(Ledger.holds(model(0)));
  Ledger.applyReport(Engine().report(), at(1s));
  Ledger.applyListEntry(Entry);
  REQUIRE_FALSE(Ledger.needsReport());
}
