/// \file
/// Watches one key, prefix or list of the platform's service.
#ifndef HAVENSTAIR_WIRE_PROCESS_PLATFORMWATCH_H
#define HAVENSTAIR_WIRE_PROCESS_PLATFORMWATCH_H

#include "decisions/process/Backoff.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PlatformClient.h"
#include <functional>
#include <memory>

namespace havenstair {

/// Repeats a waiting read until it is destroyed. After a failure it waits with
/// jittered backoff, so that boxes do not retry all at once.
class PlatformWatch {
public:
  /// Starts one read that waits as given, and calls \p Next with its status and
  /// the index after which to wait next.
  using Next = std::function<void(PlatformStatus, PlatformIndex)>;
  using Read = std::function<void(PlatformWait, Next)>;

  struct Options {
    Read m_Read;
    RandomUnit m_Random;
    Duration m_Wait = 20s;
    /// Time after a successful read before the next, so that a key that changes
    /// often cannot use up the platform's rate.
    Duration m_Gap = 20ms;
    /// m_Gap doubles with each read up to this; for keys that are most
    /// important while boxes start.
    Duration m_MaxGap = 20ms;
    Duration m_RetryFirst = 100ms;
    Duration m_RetryCap = 3s;
  };

  PlatformWatch(EventLoop &Loop, Options Opts);
  ~PlatformWatch();

  /// Whether the last read succeeded.
  bool current() const { return m_Current; }

private:
  void readOnce();
  void finished(PlatformStatus Status, PlatformIndex Index);

  EventLoop &m_Loop;
  Options m_Opts;
  Backoff m_Backoff;
  PlatformIndex m_After = 0;
  bool m_Current = false;
  Timer m_Retry;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
