/// \file
/// Boxes before upstreams of several software versions.
#ifndef HAVENSTAIR_TESTS_GATEWAY_STREAMVERSIONTEST_H
#define HAVENSTAIR_TESTS_GATEWAY_STREAMVERSIONTEST_H

#include "gateway/GatewayTest.h"

#include <set>

namespace havenstair {

/// Upstreams that name their version in each event of a stream, and a judge of
/// these events. A stream that begins stops after `BreakAfter` events.
class VersionedStreams {
public:
  enum class Stop {
    Never,
    BreaksOff, ///< The connection ends.
    Hangs      ///< Nothing more comes.
  };
  static constexpr int Pieces = 6;
  static constexpr int BreakAfter = 3;

  /// What an upstream of \p Version does with a request.
  StandinRunner::Behaviour behave(const std::string &Version) {
    return [this, Version](const StandinRunner::Request &Received,
                           const StandinRunner::ConnectionPtr &To) {
      if (Received.m_Method == "GET" || Received.m_Target.starts_with("/safe"))
        return To->write(StandinRunner::answer(Received, 200, "healthy"));
      const std::string After = Received.header("last-event-id");
      const int First = After.empty() ? 1 : std::stoi(After) + 1;
      const bool Stops =
          m_Stop != Stop::Never && (After.empty() || m_RestStops);
      const int Last = Stops ? First + BreakAfter - 1 : Pieces;
      To->write(StandinRunner::streamHead(Received));
      for (int Id = First; Id <= Last; ++Id)
        To->write(chunk(event(Id, Version)));
      if (!Stops)
        To->write(StandinRunner::streamEnd());
      else if (m_Stop == Stop::BreaksOff)
        To->close();
    };
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

  /// Whether \p Text holds the events from \p First on, in order.
  static bool endsWithEvents(const std::string &Text, int First) {
    std::size_t At = 0;
    for (int Id = First; Id <= Pieces; ++Id) {
      At = Text.find("id: " + std::to_string(Id) + "\n", At);
      if (At == std::string::npos)
        return false;
    }
    return true;
  }

  /// \p Call, made to take up the stream that the attempt \p Of began, after
  /// \p Last.
  static HttpCall resuming(HttpCall Call, const std::string &Of,
                           int Last = BreakAfter) {
    Call.m_Headers.push_back({"Last-Event-Id", std::to_string(Last)});
    if (!Of.empty())
      Call.m_Headers.push_back({"Resumes", Of});
    return Call;
  }

  Stop m_Stop = Stop::BreaksOff;
  bool m_RestStops = false; ///< Streams that are taken up stop again.

private:
  static std::string chunk(const std::string &Text) {
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx", Text.size());
    return std::string(Size) + "\r\n" + Text + "\r\n";
  }
};

/// The boxes `box` and, once started, `other`.
class StreamVersionTest : public GatewayTest, public VersionedStreams {
public:
  /// Adds the upstream \p Id, whose entry states \p Version.
  void add(const std::string &Id, const std::string &Version) {
    addRunner(Id, behave(Version));
    listVersion(Id, Version);
  }

  void listVersion(const std::string &Id, const Json &Version,
                   const std::string &State = "ready") {
    Json Entry = entry(Id, State);
    Entry["version"] = Version;
    m_Store.put("servers/" + Id, dumpJson(Entry));
  }

  /// A call to \p Box that takes up the stream that the attempt \p Of began.
  static HttpCall resumeAt(const Gateway &Box, const std::string &Id,
                           const std::string &Of, int Last = BreakAfter) {
    return resuming(callTo(Box, "/resumable/x", Id), Of, Last);
  }

  std::unique_ptr<Gateway> startBox(const std::string &Name) {
    GatewayOptions Options = options();
    Options.m_Box = BoxName(Name);
    return makeGateway(Options, [] {});
  }

  /// Starts both boxes, linked to each other.
  void startTwo() {
    configure(1);
    startGateway();
    m_Other = startBox("other");
    REQUIRE(until([&] {
      return m_Gateway->peers() == 1 && m_Other->peers() == 1 &&
             m_Gateway->state().ready() && m_Other->state().ready();
    }));
  }

  std::unique_ptr<Gateway> m_Other;
};

} // namespace havenstair

#endif
