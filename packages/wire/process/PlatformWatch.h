/// \file
/// Follows one key, prefix or list of the platform's service.
#ifndef HAVENSTAIR_WIRE_PROCESS_PLATFORMWATCH_H
#define HAVENSTAIR_WIRE_PROCESS_PLATFORMWATCH_H

#include "decisions/process/Backoff.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PlatformClient.h"
#include <functional>
#include <memory>

namespace havenstair {

/// Repeats a waiting read for as long as it lives. After a failure it waits
/// with jittered backoff, so that boxes do not return all at once.
class PlatformWatch {
public:
  /// Starts one read that waits as told and calls \p Next with the outcome:
  /// its status and the index from which to wait on.
  using Next = std::function<void(PlatformStatus, PlatformIndex)>;
  using Read = std::function<void(PlatformWait, Next)>;

  struct Options {
    Read m_Read;
    RandomUnit m_Random;
    Duration m_Wait = 20s;
    /// Least time between two successful reads, so that a busy key cannot use
    /// up the platform's rate.
    Duration m_Gap = 20ms;
    /// The gap doubles with each read up to this; for what matters most while
    /// boxes start.
    Duration m_MostGap = 20ms;
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
