/// \file
/// Callers of a soak whose requests end the engines that run them.
#ifndef HAVENSTAIR_TESTS_SOAK_CRASHINGCALLERS_H
#define HAVENSTAIR_TESTS_SOAK_CRASHINGCALLERS_H

#include "soak/SoakBox.h"
#include "soak/SoakOracle.h"
#include "wire/common/HttpClient.h"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// Some have one request, which they send again and again: the same target and
/// body, at any box, under another id and on a new connection. Others have one
/// part of prompts, and never send two requests that are alike otherwise.
class CrashingCallers {
public:
  /// What the ids of bad parts begin with.
  inline static const std::string BadPart = "bad";

  CrashingCallers(EventLoop &Loop, SoakOracle &Oracle,
                  std::vector<std::unique_ptr<SoakBox>> &Boxes)
      : m_Loop(Loop), m_Oracle(Oracle), m_Boxes(Boxes), m_Http(Loop) {}

  /// Starts \p Requests callers of the first kind and \p Parts of the second.
  void start(int Requests, int Parts, std::uint64_t Seed);
  void stop() { m_Callers.clear(); }

private:
  struct Caller {
    CallerRequest m_Request;
    HttpHeaders m_Headers;
    /// Of a part of prompts; empty for a whole request.
    std::string m_Part;
    int m_MostPauseMs = 0;
    Timer m_Next;
  };

  Caller &add();
  void drawPrompt(Caller &By);
  void next(Caller &By);
  void send(Caller &By);
  int draw(int Least, int Most);

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
