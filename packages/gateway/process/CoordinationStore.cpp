#include "gateway/process/CoordinationStore.h"

namespace havenstair {

const char *toString(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Ok:
    return "ok";
  case StoreStatus::NotFound:
    return "not_found";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::HistoryGone:
    return "history_gone";
  case StoreStatus::Refused:
    return "refused";
  case StoreStatus::Lost:
    return "lost";
  }
  return "lost";
}

const char *toString(ReadKind Kind) {
  return Kind == ReadKind::Stale ? "stale" : "current";
}

} // namespace havenstair
