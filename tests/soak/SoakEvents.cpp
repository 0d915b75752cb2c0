#include "soak/SoakEvents.h"

namespace havenstair {

const char *toString(Promise Of) {
  switch (Of) {
  case Promise::WholeAnswer:
    return "whole-answer";
  case Promise::SoundAnswer:
    return "sound-answer";
  case Promise::OwnAnswer:
    return "own-answer";
  case Promise::Unchanged:
    return "unchanged";
  case Promise::RunOnce:
    return "run-once";
  case Promise::NotRun:
    return "not-run";
  case Promise::StreamOrder:
    return "stream-order";
  case Promise::Draining:
    return "draining";
  case Promise::ConfigInForce:
    return "config-in-force";
  case Promise::ConfigBack:
    return "config-back";
  case Promise::OneGiver:
    return "one-giver";
  case Promise::FencingToken:
    return "fencing-token";
  case Promise::EngineMemory:
    return "engine-memory";
  case Promise::StoreLoads:
    return "store-loads";
  case Promise::RetryBudget:
    return "retry-budget";
  case Promise::Evacuation:
    return "evacuation";
  case Promise::CrashingBarred:
    return "crashing-barred";
  case Promise::OthersServed:
    return "others-served";
  case Promise::ServerLimit:
    return "server-limit";
  case Promise::SaidLeaving:
    return "said-leaving";
  case Promise::ServerRetryAfter:
    return "server-retry-after";
  case Promise::PartitionServed:
    return "partition-served";
  case Promise::BrittleFalls:
    return "brittle-falls";
  case Promise::OneVersion:
    return "one-version";
  case Promise::ServiceBack:
    return "service-back";
  case Promise::GoesOn:
    return "goes-on";
  case Promise::SkewServed:
    return "skew-served";
  case Promise::WarmUpRate:
    return "warm-up-rate";
  case Promise::AllowedRegions:
    return "allowed-regions";
  case Promise::BoxLives:
    return "box-lives";
  }
  return "";
}

} // namespace havenstair
