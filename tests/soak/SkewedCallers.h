/// \file
/// Callers whose new connections go to one box for a while, and on to another
/// once that one is out.
#ifndef HAVENSTAIR_TESTS_SOAK_SKEWEDCALLERS_H
#define HAVENSTAIR_TESTS_SOAK_SKEWEDCALLERS_H

#include "soak/SoakBox.h"
#include "soak/SoakOracle.h"
#include "standin/RawCall.h"
#include "wire/common/HttpClient.h"
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// Requests come at a rate that does not wait for answers, each on a connection
/// of its own. A try that was refused, or closed without a byte, is repeated
/// once at another box.
class SkewedCallers {
public:
  struct Options {
    std::uint64_t m_Seed = 0;
    double m_PerSecond = 0;       ///< No callers with zero.
    double m_PerSecondSkewed = 0; ///< While most connections go to one box.
    int m_StreamPercent = 66;     ///< The others are safe or unsafe.
    int m_Models = 0;             ///< Streams ask for one of them, if any.
    Duration m_From{};            ///< After the start.
    Duration m_For{};
  };

  SkewedCallers(EventLoop &Loop, SoakOracle &Oracle,
                std::vector<std::unique_ptr<SoakBox>> &Boxes)
      : m_Loop(Loop), m_Oracle(Oracle), m_Boxes(Boxes), m_Http(Loop) {}

  void start(Options Opts);
  /// No new requests from now on.
  void stop() { m_Arrivals = Timer(); }
  std::size_t open() const { return m_Open.size(); }
  /// Number of boxes that got most connections, one after the other.
  int inTurn() const { return m_InTurn; }

private:
  struct Asked {
    CallerRequest m_Request;
    HttpHeaders m_Headers;
    Duration m_Deadline{};
    TimePoint m_Since;
    int m_Unread = 0;
    std::size_t m_Box = 0; ///< Of the last try.
    std::unique_ptr<RawCall> m_Call;
  };

  void arrive();
  void begin();
  void choose(Asked &Of);
  void send(std::uint64_t Number);
  void done(std::uint64_t Number, const RawAnswer &Answer);
  bool retries(Asked &Of, const RawAnswer &Answer);
  std::size_t pickBox();
  std::size_t otherBox(std::size_t Than);
  void skew(bool On);
  void probe();
  void nextBox();
  int draw(int Least, int Most);

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
  HttpClient m_Http;
  Options m_Opts;
  std::mt19937_64 m_Random;
  std::map<std::uint64_t, Asked> m_Open;
  std::uint64_t m_NextNumber = 1;
  std::uint64_t m_NextId = 1;
  double m_Due = 0; ///< Requests that should have come by now.
  TimePoint m_LastArrival;
  bool m_Skewed = false;
  std::size_t m_Hot = 0; ///< The box that most new connections go to.
  int m_Misses = 0;      ///< Of its readiness, one after the other.
  int m_InTurn = 0;
  Timer m_Arrivals;
  Timer m_Begin;
  Timer m_End;
  Timer m_Probes;
};

} // namespace havenstair

#endif
