/// \file
/// The callers of a soak.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKCALLERS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKCALLERS_H

#include "soak/SoakBox.h"
#include "soak/SoakConfig.h"
#include "soak/SoakOracle.h"
#include "standin/RawCall.h"
#include "wire/common/HttpClient.h"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// Each caller sends one request after the other on a connection that it keeps
/// until the box is gone, and now and then leaves before the answer.
class SoakCallers {
public:
  struct Counts {
    int m_Sent = 0;
    int m_Served = 0;
    int m_Refused = 0; ///< Any other whole answer.
    int m_Left = 0;    ///< Given up by the caller.
    int m_Broken = 0;
  };

  SoakCallers(EventLoop &Loop, SoakOracle &Oracle, const SoakConfig &Config,
              std::vector<std::unique_ptr<SoakBox>> &Boxes);

  ~SoakCallers();
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  /// Every second caller reads answers by itself, on a connection for each.
  void readRaw() { m_ReadRaw = true; }
  /// Callers come back to the same box also when it did not answer.
  void stayAtBox() { m_StayAtBox = true; }
  void start(int Callers, std::uint64_t Seed);
  /// No new requests from now on.
  void stop() { m_Stopped = true; }
  std::size_t open() const { return m_Open; }
  const Counts &counts() const { return m_Counts; }

private:
  struct Caller;

  void send(Caller &By);
  void next(Caller &By);
  void done(Caller &By, const std::string &Id, const HttpAnswer &Answer);
  void doneRaw(Caller &By, const std::string &Id, const RawAnswer &Answer);
  void tell(Caller &By, const CallerAnswer &Answer);
  bool claimsWhole(const std::string &Id, bool Framed,
                   const std::string &Body) const;
  HttpCall makeCall(Caller &By, CallerRequest &Request);
  int drawModel(Caller &By) const;
  void chooseKind(Caller &By, CallerRequest &Request, HttpHeaders &Headers);

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  const SoakConfig &m_Config;
  std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
  std::vector<std::unique_ptr<Caller>> m_Callers;
  Counts m_Counts;
  std::uint64_t m_NextId = 1;
  std::size_t m_Open = 0;
  bool m_Stopped = false;
  bool m_ReadRaw = false;
  bool m_StayAtBox = false;
};

} // namespace havenstair

#endif
