#include "decisions/request/EventSplitter.h"
#include "support/Draw.h"
#include <vector>

using namespace havenstair;

namespace {

std::string event(std::int64_t Id, const std::string &Text) {
  return "id: " + std::to_string(Id) + "\ndata: " + Text + "\n\n";
}

} // namespace

TEST_CASE(
    "Events are passed on complete and in order, however the bytes are split",
    "[streams][property]") {
  rc::prop("any cut", [] {
    std::string Stream;
    const int Count = *drawn(1, 8);
    for (int Id = 1; Id <= Count; ++Id)
      Stream +=
          event(Id, std::string(static_cast<std::size_t>(*drawn(0, 9)), 'x'));
    const std::string Incomplete = "id: " + std::to_string(Count + 1) + "\nda";
    const std::string All = Stream + Incomplete;
    EventSplitter Splitter;
    std::string Out;
    std::size_t Offset = 0;
    while (Offset < All.size()) {
      const auto Size = static_cast<std::size_t>(*drawn(1, 12));
      const std::string Complete =
          Splitter.feed(std::string_view(All).substr(Offset, Size));
      RC_ASSERT(Complete.empty() || Complete.ends_with("\n\n"));
      Out += Complete;
      Offset += Size;
    }
    RC_ASSERT(Out == Stream);
    RC_ASSERT(Splitter.rest() == Incomplete);
    RC_ASSERT(Splitter.lastId() == std::optional<std::int64_t>(Count));
  });
}

TEST_CASE("Lines may end with CRLF", "[streams]") {
  EventSplitter Splitter;
  REQUIRE(Splitter.feed("id:7\r\ndata: a\r\n\r\nid: 8\r\n") ==
          "id:7\r\ndata: a\r\n\r\n");
  REQUIRE(Splitter.lastId() == std::optional<std::int64_t>(7));
}
