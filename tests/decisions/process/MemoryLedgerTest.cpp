#include "decisions/process/MemoryLedger.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

ArtifactName artifact(int Number) {
  return ArtifactName("model-" + std::to_string(Number));
}

} // namespace

TEST_CASE("A ledger counts a reservation from the start", "[memory]") {
  MemoryLedger Ledger(100, 20);
  REQUIRE(Ledger.available() == 80);
  REQUIRE(Ledger.tryReserve(artifact(1), 50));
  REQUIRE(Ledger.available() == 30);

  SECTION("what does not fit is refused and changes nothing") {
    REQUIRE_FALSE(Ledger.tryReserve(artifact(2), 31));
    REQUIRE(Ledger.available() == 30);
  }
  SECTION("an artifact is reserved once") {
    REQUIRE_FALSE(Ledger.tryReserve(artifact(1), 10));
  }
  SECTION("an unload frees memory only when it is confirmed") {
    Ledger.confirmResident(artifact(1), 50);
    REQUIRE(Ledger.beginUnload(artifact(1)));
    REQUIRE(Ledger.available() == 30);
    Ledger.release(artifact(1));
    REQUIRE(Ledger.available() == 80);
  }
  SECTION("a larger reserve for the KV cache must fit") {
    REQUIRE_FALSE(Ledger.trySetKvReserve(51));
    REQUIRE(Ledger.trySetKvReserve(50));
    REQUIRE(Ledger.available() == 0);
  }
}

TEST_CASE("Reservations never exceed the capacity", "[memory][property]") {
  rc::prop("reservations and releases in any order", [] {
    MemoryLedger Ledger(100, 10);
    const auto Calls = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(drawn(0, 5), drawn(0, 60)));
    for (const auto &[Which, Size] : Calls) {
      if (Size % 3 == 0)
        Ledger.release(artifact(Which));
      else if (Size % 7 == 0)
        Ledger.trySetKvReserve(Size);
      else
        Ledger.tryReserve(artifact(Which), Size);
      RC_ASSERT(Ledger.taken() <= Ledger.capacity());
    }
  });
}
