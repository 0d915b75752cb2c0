/// \file
/// Watches a soak from outside: events in, broken promises out.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKORACLE_H
#define HAVENSTAIR_TESTS_SOAK_SOAKORACLE_H

#include "soak/AnswerOracle.h"
#include "soak/BrittleOracle.h"
#include "soak/ConfigOracle.h"
#include "soak/CrashOracle.h"
#include "soak/GoesOnOracle.h"
#include "soak/OrderOracle.h"
#include "soak/PartitionOracle.h"
#include "soak/ReturnOracle.h"
#include "soak/RoutingOracle.h"
#include "soak/ServerWordsOracle.h"
#include "soak/SkewOracle.h"
#include "soak/SoundAnswerOracle.h"
#include "soak/VersionOracle.h"
#include <vector>

namespace havenstair {

/// Hands each event to those that judge it and keeps their verdicts.
class SoakOracle {
public:
  explicit SoakOracle(SoakBounds Bounds);
  SoakOracle(const SoakOracle &) = delete;
  SoakOracle &operator=(const SoakOracle &) = delete;

  void sent(const CallerRequest &Request);
  void answered(const CallerAnswer &Answer);
  void arrived(const EngineArrival &Arrival);
  void said(const EngineWords &Words);
  void made(const EngineAnswer &Answer) { m_Answers.made(Answer); }
  void ended(const EngineEnding &Ending) {
    m_Answers.ended(Ending);
    m_Sound.ended(Ending);
  }
  /// A brittle engine turns a request away for want of room.
  void turnedAway(const std::string &Id, const std::string &Engine,
                  TimePoint At);
  /// A caller who takes streams up has made a try that was sent().
  void streamTried(const StreamTry &Try);
  /// The caller gave up by itself.
  void left(const std::string &Id);
  /// Nothing more comes.
  void finish(TimePoint At);
  /// A server's entry says that it takes requests, or no longer.
  void serverServes(const std::string &Service, const std::string &Version,
                    const std::string &Server, TimePoint At);
  void serverLeaves(const std::string &Server, TimePoint At);
  /// All boxes are lost at once; the last one that is to come back is back.
  void boxesLost(TimePoint At);
  void boxesBack(TimePoint At);
  /// A box ended although nobody stopped it.
  void boxEnded(const std::string &Box, int Status, TimePoint At);

  /// The request of that id; null when no caller sent it.
  const CallerRequest *request(const std::string &Id) const {
    return m_Answers.request(Id);
  }
  /// Whether a try of that id has reached an engine.
  bool reachedEngine(const std::string &Id) const {
    return m_Answers.reachedEngine(Id);
  }
  Disturbances &trouble() { return m_Trouble; }
  ConfigOracle &config() { return m_Config; }
  RoutingOracle &routing() { return m_Routing; }
  OrderOracle &orders() { return m_Orders; }
  CrashOracle &crashes() { return m_Crashes; }
  PartitionOracle &partitions() { return m_Partitions; }
  ReturnOracle &returns() { return m_Returns; }
  const ReturnOracle &returns() const { return m_Returns; }
  BrittleOracle &brittle() { return m_Brittle; }
  SoundAnswerOracle &sound() { return m_Sound; }
  ServerWordsOracle &words() { return m_Words; }
  VersionOracle &versions() { return m_Versions; }
  const VersionOracle &versions() const { return m_Versions; }
  GoesOnOracle &goesOn() { return m_GoesOn; }
  const GoesOnOracle &goesOn() const { return m_GoesOn; }
  const CrashOracle &crashes() const { return m_Crashes; }
  SkewOracle &skew() { return m_Skew; }
  const SkewOracle &skew() const { return m_Skew; }
  const std::vector<SoakVerdict> &verdicts() const { return m_Verdicts; }

private:
  VerdictHook noteVerdict() {
    return [this](SoakVerdict Verdict) {
      m_Verdicts.push_back(std::move(Verdict));
    };
  }

  const SoakBounds m_Bounds;
  std::vector<SoakVerdict> m_Verdicts;
  Disturbances m_Trouble;
  AnswerOracle m_Answers;
  ConfigOracle m_Config;
  RoutingOracle m_Routing;
  OrderOracle m_Orders;
  CrashOracle m_Crashes;
  ServerWordsOracle m_Words;
  PartitionOracle m_Partitions;
  ReturnOracle m_Returns;
  BrittleOracle m_Brittle;
  SoundAnswerOracle m_Sound;
  VersionOracle m_Versions;
  GoesOnOracle m_GoesOn;
  SkewOracle m_Skew;
};

} // namespace havenstair

#endif
