#include "decisions/request/EventSplitter.h"
#include "support/Draw.h"
#include <vector>

using namespace havenstair;

namespace {

std::string event(std::int64_t Id, const std::string &Text) {
  return "id: " + std::to_string(Id) + "\ndata: " + Text + "\n\n";
}

} // namespace

TEST_CASE("Events come out whole and in order however the bytes are cut",
          "[streams][property]") {
  rc::prop("any cut", [] {
    std::string Stream;
    const int Count = *drawn(1, 8);
    for (int Id = 1; Id <= Count; ++Id)
      Stream +=
          event(Id, std::string(static_cast<std::size_t>(*drawn(0, 9)), 'x'));
    const std::string Half = "id: " + std::to_string(Count + 1) + "\nda";
    const std::string All = Stream + Half;
    EventSplitter Splitter;
    std::string Out;
    std::size_t At = 0;
    while (At < All.size()) {
      const auto Size = static_cast<std::size_t>(*drawn(1, 12));
      const std::string Whole =
          Splitter.feed(std::string_view(All).substr(At, Size));
      RC_ASSERT(Whole.empty() || Whole.ends_with("\n\n"));
      Out += Whole;
      At += Size;
    }
    RC_ASSERT(Out == Stream);
    RC_ASSERT(Splitter.rest() == Half);
    RC_ASSERT(Splitter.lastId() == std::optional<std::int64_t>(Count));
  });
}

TEST_CASE("Lines may end with a carriage return", "[streams]") {
  EventSplitter Splitter;
  REQUIRE(Splitter.feed("id:7\r\ndata: a\r\n\r\nid: 8\r\n") ==
          "id:7\r\ndata: a\r\n\r\n");
  REQUIRE(Splitter.lastId() == std::optional<std::int64_t>(7));
}
