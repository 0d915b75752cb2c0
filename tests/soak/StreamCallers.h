/// \file
/// Callers of a soak who take broken streams up again.
#ifndef HAVENSTAIR_TESTS_SOAK_STREAMCALLERS_H
#define HAVENSTAIR_TESTS_SOAK_STREAMCALLERS_H

#include "soak/SoakBox.h"
#include "soak/SoakOracle.h"
#include "wire/common/HttpClient.h"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// Each asks for one stream after the other. What breaks off, also by its own
/// doing, it takes up at any box until its deadline.
class StreamCallers {
public:
  struct Options {
    int m_Callers = 0;
    std::uint64_t m_Seed = 0;
    Duration m_Deadline = 5s;
    /// Some wait for seconds before they take up what broke off.
    bool m_WaitLong = false;
    /// A connection is used until the process at its other end is gone.
    bool m_KeepConnections = false;
    bool m_OnlyPlain = false; ///< Nothing of engines with models.
  };

  StreamCallers(EventLoop &Loop, SoakOracle &Oracle,
                std::vector<std::unique_ptr<SoakBox>> &Boxes)
      : m_Loop(Loop), m_Oracle(Oracle), m_Boxes(Boxes), m_Http(Loop) {}

  void start(Options Opts);
  void stop();

private:
  struct Caller {
    CallerRequest m_Request;
    HttpHeaders m_Headers;
    std::string m_First; ///< Attempt that brought the first event.
    std::vector<StreamPiece> m_Got;
    std::string m_Bytes; ///< Of the present try.
    int m_Status = 0;    ///< Of its answer; 0 before.
    TimePoint m_Until{};
    bool m_Open = false; ///< The present try has not ended.
    TimePoint m_BegunAt; ///< Of the stream.
    HttpCallHandle m_Call;
    Timer m_Next;
    Timer m_Cut;
  };

  void begin(Caller &By);
  void later(Caller &By, bool Again);
  void send(Caller &By);
  void ended(Caller &By, HttpEnd End, bool Left);
  void tell(const Caller &By, bool Brought, bool Left);
  Duration pause(const Caller &By, bool Again);
  void judge(Caller &By);
  int draw(int Least, int Most);

  Options m_Opts;
  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
  HttpClient m_Http;
  std::mt19937_64 m_Random;
  std::uint64_t m_NextId = 1;
  std::vector<std::unique_ptr<Caller>> m_Callers;
};

} // namespace havenstair

#endif
