/// \file
/// What callers, engines and the store see during a soak, as plain values.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKEVENTS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKEVENTS_H

#include "decisions/common/Time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace havenstair {

/// What the system promises its callers and the engines behind it.
enum class Promise {
  SoundAnswer,      ///< What an engine answers soundly arrives as a whole.
  WholeAnswer,      ///< A success is the engine's whole answer.
  OwnAnswer,        ///< An answer belongs to the request that got it.
  Unchanged,        ///< Engines get only what callers sent.
  RunOnce,          ///< What may not be repeated runs once at most.
  NotRun,           ///< A status that says "not run" is true.
  StreamOrder,      ///< Events have neither holes nor repeats.
  Draining,         ///< An engine that leaves gets nothing new.
  ConfigInForce,    ///< A configuration is in force within its bound.
  ConfigBack,       ///< An older configuration never comes back.
  OneGiver,         ///< Orders come from one box at a time.
  FencingToken,     ///< Fencing tokens never fall, nor are shared.
  EngineMemory,     ///< No engine is ordered to hold more than fits.
  StoreLoads,       ///< Loads from the store of weights stay below a rate.
  RetryBudget,      ///< Repeated sends are a small part of all.
  Evacuation,       ///< An evacuated data centre gets nothing new.
  WarmUpRate,       ///< A cold engine gets no more than it can take.
  AllowedRegions,   ///< Requests stay in the regions that they may see.
  BoxLives,         ///< Boxes do not end by themselves.
  CrashingBarred,   ///< A request that ends engines soon reaches none.
  OthersServed,     ///< No other request is taken for such a one.
  ServerLimit,      ///< All boxes together keep the limit that an engine names.
  SaidLeaving,      ///< An engine that says that it leaves gets nothing new.
  ServerRetryAfter, ///< A box keeps away for the time that an engine names.
  PartitionServed,  ///< A box that reaches no engine serves its callers.
  BrittleFalls,     ///< Servers that bear few refusals seldom fall.
  OneVersion,       ///< A stream holds events of one software version only.
  ServiceBack,      ///< After all boxes were lost, they serve again.
  GoesOn,           ///< After that, streams that are taken up go on.
  SkewServed ///< A box that most new connections go to serves what it reads.
};

const char *toString(Promise Of);

/// Whether the promise has a bound in time or in a rate, so that a machine
/// that is too busy may break it for the system.
constexpr bool isTimed(Promise Of) {
  switch (Of) {
  case Promise::Draining:
  case Promise::ConfigInForce:
  case Promise::OneGiver:
  case Promise::StoreLoads:
  case Promise::RetryBudget:
  case Promise::Evacuation:
  case Promise::WarmUpRate:
  case Promise::CrashingBarred:
  case Promise::ServerLimit:
  case Promise::SaidLeaving:
  case Promise::ServerRetryAfter:
  case Promise::PartitionServed:
  case Promise::BrittleFalls:
  case Promise::SoundAnswer:
  case Promise::ServiceBack:
  case Promise::GoesOn:
  case Promise::SkewServed:
    return true;
  default:
    return false;
  }
}

/// One promise that was broken.
struct SoakVerdict {
  Promise m_Promise;
  TimePoint m_At;
  std::string m_Subject; ///< Id of a request, or name of an engine or box.
  std::string m_Text;

  bool operator==(const SoakVerdict &) const = default;
};
using VerdictHook = std::function<void(SoakVerdict)>;

enum class RequestKind { Safe, Unsafe, Stream, ResumableStream };

constexpr bool mayRepeat(RequestKind Kind) {
  return Kind == RequestKind::Safe || Kind == RequestKind::ResumableStream;
}
constexpr bool isStream(RequestKind Kind) {
  return Kind == RequestKind::Stream || Kind == RequestKind::ResumableStream;
}

/// A caller begins to send.
struct CallerRequest {
  std::string m_Id;
  std::string m_Box;
  int m_BoxLife = 0; ///< Which start of that box took the request.
  RequestKind m_Kind = RequestKind::Safe;
  std::string m_Service;
  std::string m_Target;
  std::string m_Body;
  /// The first version whose routes know the target; none for lasting routes.
  std::optional<std::uint64_t> m_Since;
  TimePoint m_At;

  bool operator==(const CallerRequest &) const = default;
};

/// What the caller got.
struct CallerAnswer {
  std::string m_Id;
  int m_Status = 0; ///< Zero without a head.
  bool m_Complete = false;
  std::string m_AnswersId;
  std::string m_Signature; ///< Of the engine; empty for the box's own answer.
  std::string m_Body;
  TimePoint m_At;

  bool operator==(const CallerAnswer &) const = default;
};

/// A try of a stream, once it has ended.
struct StreamTry {
  std::string m_Id;     ///< Its own attempt.
  std::string m_Stream; ///< Its first attempt.
  std::string m_Box;
  std::string m_Service;
  std::string m_Version; ///< Of its first event; empty for a new stream.
  bool m_TakesUp = false;
  bool m_Brought = false; ///< An event, or the end of one that was taken up.
  bool m_Left = false;    ///< The caller broke it off by itself.
  TimePoint m_BegunAt;    ///< The stream; from its first attempt on.
  TimePoint m_At;
  TimePoint m_EndedAt;

  bool operator==(const StreamTry &) const = default;
};

/// A request reaches an engine.
struct EngineArrival {
  std::string m_Id;
  std::string m_Engine;
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_Target;
  std::string m_Body;
  bool m_Runs = false; ///< Taken, rather than refused as not run.
  TimePoint m_At;

  bool operator==(const EngineArrival &) const = default;
};

/// The whole answer that an engine makes, also when it is broken off later.
struct EngineAnswer {
  std::string m_Id;
  std::string m_Signature;
  int m_Status = 0;
  std::string m_Body;

  bool operator==(const EngineAnswer &) const = default;
};

/// How an engine ends its answer, whole or not.
struct EngineEnding {
  std::string m_Id;
  std::string m_Signature;
  /// What a reader can know of the body.
  std::string m_Readable;
  /// Number of the event behind which a resumed run began; zero for none.
  int m_After = 0;
  /// By its framing, or by the orderly end of its connection without one.
  bool m_FramedAsWhole = false;
  /// All was sent, properly framed, and the connection ends in order.
  bool m_Sound = false;
  std::string m_Engine;
  std::string m_How; ///< For verdicts.

  bool operator==(const EngineEnding &) const = default;
};

/// What an engine says of itself in an answer.
struct EngineWords {
  std::string m_Id; ///< Of the request.
  std::string m_Engine;
  std::optional<double> m_LimitPerSecond;
  bool m_Leaving = false;
  Duration m_RetryAfter = 0us; ///< For which the box is to keep away.
  TimePoint m_At;

  bool operator==(const EngineWords &) const = default;
};

/// An order reaches an engine.
struct OrderArrival {
  std::string m_Engine;
  std::string m_Holder;
  std::uint64_t m_Token = 0;
  bool m_Fenced = false; ///< The engine refuses tokens that fell.
  TimePoint m_At;

  bool operator==(const OrderArrival &) const = default;
};

/// An engine begins to carry out an order. Sizes are as after it.
struct OrderBegun {
  std::string m_Engine;
  bool m_StoreLoad = false; ///< Begins a load from the store of weights.
  double m_UsedMb = 0;
  double m_LimitMb = 0;
  int m_Adapters = 0;
  int m_AdapterLimit = 0;
  TimePoint m_At;

  bool operator==(const OrderBegun &) const = default;
};

} // namespace havenstair

#endif
