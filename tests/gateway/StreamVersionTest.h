/// \file
/// Boxes before upstreams of several software versions.
#ifndef HAVENSTAIR_TESTS_GATEWAY_STREAMVERSIONTEST_H
#define HAVENSTAIR_TESTS_GATEWAY_STREAMVERSIONTEST_H

#include "gateway/GatewayTest.h"

#include <set>

namespace havenstair {

/// Upstreams that name their version in each event of a stream. A stream that
/// begins breaks off after `BreakAfter` events while `m_Breaks` is set.
class StreamVersionTest : public GatewayTest {
public:
  static constexpr int Pieces = 6;
  static constexpr int BreakAfter = 3;

  /// Adds the upstream \p Id, whose entry states \p Version.
  void add(const std::string &Id, const std::string &Version) {
    addRunner(Id, behave(Version));
    listVersion(Id, Version);
  }

  /// What an upstream of \p Version does with a request.
  StandinRunner::Behaviour behave(const std::string &Version) {
    return [this, Version](const Request &Received, const ConnectionPtr &To) {
      if (Received.m_Method == "GET" || Received.m_Target.starts_with("/safe"))
        return To->write(StandinRunner::answer(Received, 200, "healthy"));
      const std::string After = Received.header("last-event-id");
      const int First = After.empty() ? 1 : std::stoi(After) + 1;
      const bool Breaks = (m_Breaks || m_Holds) && After.empty();
      To->write(StandinRunner::streamHead(Received));
      for (int Id = First; Id <= (Breaks ? BreakAfter : Pieces); ++Id)
        To->write(chunk(event(Id, Version)));
      if (Breaks)
        return m_Holds ? void() : To->close();
      To->write(StandinRunner::streamEnd());
    };
  }

  void listVersion(const std::string &Id, const Json &Version,
                   const std::string &State = "ready", StartTime Born = 0) {
    Json Entry = entry(Id, State);
    Entry["version"] = Version;
    if (Born != 0)
      Entry["born"] = Born;
    m_Store.put("servers/" + Id, dumpJson(Entry));
  }

  /// A call that takes up the stream that the attempt \p Of began, after \p
  /// Last.
  static HttpCall resumeAt(const Gateway &Box, const std::string &Id,
                           const std::string &Of, int Last = BreakAfter) {
    HttpCall Call = callTo(Box, "/resumable/x", Id);
    Call.m_Headers.push_back({"Last-Event-Id", std::to_string(Last)});
    if (!Of.empty())
      Call.m_Headers.push_back({"Resumes", Of});
    return Call;
  }

  std::unique_ptr<Gateway> startBox(const std::string &Name) {
    GatewayOptions Options = options();
    Options.m_Box = BoxName(Name);
    return makeGateway(Options, [] {});
  }

  /// Starts the boxes `box` and `other`, linked to each other.
  void startTwo() {
    configure(1);
    startGateway();
    m_Other = startBox("other");
    awaitTwo();
  }

  void awaitTwo() {
    REQUIRE(until([&] {
      return m_Gateway->peers() == 1 && m_Other->peers() == 1 &&
             m_Gateway->state().ready() && m_Other->state().ready();
    }));
  }

  static std::string event(int Id, const std::string &Version) {
    return "id: " + std::to_string(Id) + "\ndata: " + Version + " piece-" +
           std::to_string(Id) + "\n\n";
  }

  /// The versions whose upstreams wrote \p Text.
  static std::set<std::string> versionsIn(const std::string &Text) {
    constexpr std::string_view Begin = "data: ";
    std::set<std::string> Result;
    for (std::size_t At = Text.find(Begin); At != std::string::npos;
         At = Text.find(Begin, At + 1)) {
      const std::size_t From = At + Begin.size();
      Result.insert(Text.substr(From, Text.find(' ', From) - From));
    }
    return Result;
  }

  /// The last events of \p Text, from \p First on.
  static bool endsWithEvents(const std::string &Text, int First) {
    std::size_t At = 0;
    for (int Id = First; Id <= Pieces; ++Id) {
      At = Text.find("id: " + std::to_string(Id) + "\n", At);
      if (At == std::string::npos)
        return false;
    }
    return true;
  }

  bool m_Breaks = true;
  bool m_Holds = false; ///< What would break off stays open instead.
  std::unique_ptr<Gateway> m_Other;

private:
  static std::string chunk(const std::string &Text) {
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx", Text.size());
    return std::string(Size) + "\r\n" + Text + "\r\n";
  }
};

} // namespace havenstair

#endif
