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

namespace {

/// One line of a stream, with its end.
struct StreamLine {
  std::string m_Text;
  std::string m_End;
};

std::vector<StreamLine> drawLines() {
  const std::vector<std::string> Texts{
      "", "", "data: x", "id: 5", ": note", ":", "event: e", "data", "id:7"};
  const std::vector<std::string> Ends{"\n", "\r\n", "\r"};
  std::vector<StreamLine> Lines;
  const int Count = *drawn(0, 12);
  for (int Each = 0; Each < Count; ++Each) {
    const auto Text = static_cast<std::size_t>(*drawn(0, 8));
    const auto End = static_cast<std::size_t>(*drawn(0, 2));
    // CR before a line that is empty and ends with LF would read as CRLF.
    const bool Ambiguous = !Lines.empty() && Lines.back().m_End == "\r" &&
                           Texts[Text].empty() && Ends[End] == "\n";
    Lines.push_back({Texts[Text], Ambiguous ? "\r\n" : Ends[End]});
  }
  return Lines;
}

/// Feeds \p Text in pieces of drawn sizes. \returns all complete events.
std::string feedInPieces(EventSplitter &Splitter, const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size();) {
    const auto Size = static_cast<std::size_t>(*drawn(1, 4));
    Out += Splitter.feed(std::string_view(Text).substr(At, Size));
    At += Size;
  }
  return Out;
}

} // namespace

TEST_CASE("Whether a stream ends inside an event does not depend on how its "
          "bytes are split",
          "[streams][property]") {
  rc::prop("any lines, line ends, cuts and pieces", [] {
    const std::vector<StreamLine> Lines = drawLines();
    std::string All;
    std::size_t EventsEnd = 0;
    bool Inside = false;
    for (const StreamLine &Line : Lines) {
      All += Line.m_Text + Line.m_End;
      if (Line.m_Text.empty()) {
        EventsEnd = All.size();
        Inside = false;
      } else if (Line.m_Text.front() != ':') {
        Inside = true;
      }
    }
    const std::string Unfinished =
        *rc::gen::element<std::string>("", "d", "data: y", ":n", "id");
    All += Unfinished;
    EventSplitter Splitter;
    const std::string Out = feedInPieces(Splitter, All);
    RC_ASSERT(Out == All.substr(0, EventsEnd));
    RC_ASSERT(Splitter.rest() == All.substr(EventsEnd));
    RC_ASSERT(Splitter.insideEvent() == (Inside || !Unfinished.empty()));
  });
}

TEST_CASE("Comments and blank lines after the last event belong to no event",
          "[streams]") {
  EventSplitter Splitter;
  REQUIRE(Splitter.feed("data: a\n\n\n: kept open\n") == "data: a\n\n\n");
  REQUIRE(Splitter.rest() == ": kept open\n");
  REQUIRE_FALSE(Splitter.insideEvent());
}
