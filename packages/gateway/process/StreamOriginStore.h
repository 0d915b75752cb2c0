/// \file
/// Keeps how streams began in the store, where it survives the boxes.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STREAMORIGINSTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_STREAMORIGINSTORE_H

#include "decisions/process/StreamOrigins.h"
#include "gateway/process/CoordinationStore.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/StreamFrames.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// Writes the origins of streams in batches, while they are needed: a service
/// has several software versions. A batch is one key under a lease, written
/// again while it fills. Reads the batches of all boxes for a stream that no
/// box remembers.
class StreamOriginStore {
public:
  struct Options {
    std::string m_Prefix;  ///< Prefix of the keys.
    std::string m_Process; ///< Name of this process, part of its keys.
  };
  struct Hooks {
    /// \returns whether streams of a service have to be written.
    std::function<bool(const std::string &Service, TimePoint Now)> m_Needed;
    /// \returns how many boxes write.
    std::function<std::size_t()> m_Writers;
  };
  using Done = std::function<void(const StreamOrigins::Knowledge &)>;

  StreamOriginStore(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
                    Options Opts, Hooks Callbacks);
  StreamOriginStore(const StreamOriginStore &) = delete;
  StreamOriginStore &operator=(const StreamOriginStore &) = delete;

  /// Adds a stream, which is written as soon as it is needed and its caller may
  /// still take it up.
  void record(const BegunStream &Stream, TimePoint Now);
  /// Called when the versions of services may have changed.
  void refresh(TimePoint Now);
  /// Finds how the stream of \p Attempt began. Calls \p Callback once, before
  /// this function returns or later; with nothing if the store does not answer.
  void find(const std::string &Attempt, Done Callback);

private:
  struct Waiting {
    BegunStream m_Stream;
    TimePoint m_Until; ///< When its caller has given up.
  };
  struct Reader {
    std::string m_Attempt;
    Done m_Done;
  };

  Duration interval() const;
  bool anyNeeded(TimePoint Now) const;
  void flushLater(TimePoint Now);
  void flush();
  void takeNeeded(TimePoint Now);
  void renewLease(TimePoint Now);
  void put();
  void onPut(std::size_t Streams, StoreStatus Status);
  void endCall();
  void read();
  void onRead(const StoreItems &Result);

  EventLoop &m_Loop;
  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  /// Streams that are in no batch, by service.
  std::map<std::string, std::deque<Waiting>> m_Waiting;
  StreamsBegunFrame m_Batch; ///< The batch that fills.
  std::uint64_t m_BatchNumber = 0;
  bool m_Unwritten = false; ///< The batch holds streams that are not stored.
  LeaseId m_Lease = 0;
  TimePoint m_LeaseAt{};   ///< When the lease was requested.
  TimePoint m_FlushedAt{}; ///< When the last batch was sent.
  bool m_InFlight = false;
  Timer m_FlushTimer;
  bool m_FlushDue = false;
  std::vector<Reader> m_Readers;
  bool m_Reading = false;
  StreamOrigins m_Read; ///< What the last read brought.
  TimePoint m_ReadAt{};
  bool m_HasRead = false;
  /// Expires with this object.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
