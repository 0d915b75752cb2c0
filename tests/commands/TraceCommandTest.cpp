#include "havenstair/request/TraceCommand.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace havenstair;

TEST_CASE("A trace contains only the lines of its request", "[trace]") {
  std::istringstream Log(
      R"(  0.5 box-1 {"event":"sent","request":"id-1","time":20,"upstream":"u"}
not a line {"half
{"event":"sent","request":"id-10","time":21}
{"event":"order","engine":"id-1","time":22}
{"event":"answered","request":"id-1","time":25,"outcome":"ok","up_ms":3}
)");
  const std::vector<TraceLine> Lines = traceLines(Log, "box-1", "id-1");
  REQUIRE(Lines.size() == 2);
  REQUIRE(Lines[0].m_Time == 20);
  REQUIRE(Lines[0].m_Text == "sent  upstream=u");
  REQUIRE(Lines[1].m_Text == "answered  outcome=ok");
}
