/// \file
/// A stand-in server of the soak: answers callers' requests, takes orders,
/// keeps itself in the stand-in store and misbehaves on request.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKENGINE_H
#define HAVENSTAIR_TESTS_SOAK_SOAKENGINE_H

#include "soak/ModelShelf.h"
#include "soak/SoakBrittleness.h"
#include "soak/SoakEndings.h"
#include "soak/SoakOracle.h"
#include "standin/LoopbackProxy.h"
#include "standin/StandinRunner.h"
#include "standin/StandinStore.h"
#include "wire/common/EventLoop.h"
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace havenstair {

/// A plain service without a shelf of models, an engine with one.
class SoakEngine {
public:
  struct Options {
    std::string m_Name;
    std::string m_Service;
    std::string m_DataCentre;
    int m_Slots = 8;
    std::optional<ModelShelf::Options> m_Shelf;
    std::uint64_t m_Seed = 0;
    bool m_Starts = true; ///< At once; else by startAs().
  };

  SoakEngine(EventLoop &Loop, StandinStore &Store, SoakOracle &Oracle,
             Options Opts);

  /// The id in its entry; a new one after each return.
  const std::string &id() const { return m_Id; }
  const std::string &service() const { return m_Opts.m_Service; }
  LoopbackProxy &link() { return m_Link; }

  /// Starts again under its id with a newer birth and nothing kept. It is cold
  /// for \p Cold.
  void restart(Duration Cold);
  /// Says that it leaves, or lets its entry go without a word; it serves on.
  void leave(bool Says);
  /// Ends, if it still runs, and comes back under a new id.
  void comeBack();
  /// A process of \p Version starts under a new id.
  void startAs(const std::string &Version);
  /// The process ends and its entry goes, until it starts again.
  void goAway();
  /// The machine is away for a while, with its entry; an empty one with a new
  /// id is there after it, and cold at first.
  void losePower(Duration Away, Duration Cold);
  /// Whether its entry says that it takes requests.
  bool serves() const { return m_Listed && !m_Draining && !m_Down; }
  /// Whether it ended, or never started.
  bool gone() const { return m_Down; }
  /// The entry goes although the engine lives, as when the store forgot it.
  void lapse();
  void publish();

  void setLate(Duration Late) { m_Late = Late; }
  void setOrdersLate(Duration Late) { m_OrdersLate = Late; }
  /// Answers name a limit from now on, or none.
  void nameLimit(std::optional<double> PerS) { m_LimitPerSecond = PerS; }
  /// Answers say that it leaves, and the store does not hear of it.
  void sayLeaving() { m_SaysLeaving = true; }
  /// Requests are turned away, with a time to retry after.
  void askRetryAfter(Duration For) { m_RetryAfter = For; }
  /// Answers say that it is brittle from now on, and its room shrinks after a
  /// while: it falls when it turns away more than \p PerS in a second for want
  /// of room.
  void sayBrittle(int PerS);
  void sayBrittleNoMore();
  /// Each process that starts under a new id has a version of three from now
  /// on.
  void playVersions();
  /// Mutation: the oracle hears the words, and the boxes do not.
  void setSilent(bool Silent) { m_Silent = Silent; }
  /// The next answers break off midway.
  void breakOff(int Count) { m_BreakOff = Count; }
  /// Answers end in many ways from now on.
  void playEndings();
  /// Which endings; none before playEndings().
  std::optional<SoakEndings> &endings() { return m_Endings; }
  /// The next answers are followed by one more that nobody asked for.
  void sendSurplus(int Count) { m_Surplus = Count; }
  /// Mutation: the oracle hears that the engine leaves, and the store does not.
  void setWithholding(bool Withholding) { m_Withholding = Withholding; }
  /// Mutation: answers to callers have the body of another request.
  void setSpoiling(bool Spoiling) { m_Spoiling = Spoiling; }

private:
  using Request = StandinRunner::Request;
  using Connection = StandinRunner::ConnectionPtr;
  struct Run;

  void take(const Request &Asked, const Connection &To);
  void takeOrder(const Request &Asked, const Connection &To);
  void tellHealth(const Request &Asked, const Connection &To) const;
  void report(const Request &Asked, const Connection &To);
  void run(const Request &Asked, const Connection &To);
  void crash(const std::string &Body);
  void fall(Duration Away);
  int room() const;
  void noteTurnedAway(const Request &Asked);
  SoakEndings::Run endedRun(const Run &Of, const std::string &MoreFields);
  void stream(const std::shared_ptr<Run> &Of);
  void finish(const std::shared_ptr<Run> &Of);
  void later(Duration Delay, std::function<void()> Call);
  std::string head(const Request &Of, int Status,
                   const std::string &More) const;
  std::string words(const Request &Of, bool TurnedAway) const;
  void refuse(const Request &Asked, const Connection &To, int Status);
  bool modelHere(const Request &Asked) const;
  void takeName();
  void drawVersion();
  int draw(int Least, int Most);

  EventLoop &m_Loop;
  StandinStore &m_Store;
  SoakOracle &m_Oracle;
  Options m_Opts;
  std::mt19937_64 m_Random;
  std::optional<ModelShelf> m_Shelf;
  StandinRunner m_Runner;
  LoopbackProxy m_Link;
  Timer m_Tick;

  std::string m_Id;
  bool m_PlaysVersions = false;
  std::string m_Version = "v1";
  int m_Lives = 0;
  std::uint64_t m_Runs = 0;
  WallMillis m_StartTime = 0;
  TimePoint m_ColdUntil;
  int m_Active = 0;
  bool m_Listed = true;
  bool m_Draining = false;
  Duration m_Late = 0us;
  Duration m_OrdersLate = 0us;
  int m_BreakOff = 0;
  int m_Surplus = 0;
  bool m_Spoiling = false;
  bool m_Withholding = false;
  std::optional<double> m_LimitPerSecond;
  bool m_SaysLeaving = false;
  Duration m_RetryAfter = 0us;
  bool m_Silent = false;
  std::optional<SoakBrittleness> m_Brittle;
  std::optional<SoakEndings> m_Endings;
  std::uint64_t m_NextTimer = 0;
  std::map<std::uint64_t, Timer> m_Timers;
  bool m_Down = false; ///< It ended and is not back.
  Timer m_BackTimer;
};

} // namespace havenstair

#endif
