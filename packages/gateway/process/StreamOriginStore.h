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
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// Writes the origins of streams in batches, while they are needed: a service
/// has several software versions. A batch is one key under a lease, written
/// again while it fills. The first one is written before there is a stream, so
/// that the keys name each process whose streams the store may lack. Reads the
/// batches of all boxes for a stream that no box remembers.
class StreamOriginStore {
public:
  struct Options {
    std::string m_Prefix;  ///< Prefix of the keys.
    std::string m_Process; ///< Name of this process, part of its keys.
  };
  struct Hooks {
    /// \returns whether streams of a service have to be written.
    std::function<bool(const std::string &Service, TimePoint Now)> m_Needed;
    /// \returns whether streams of some service have to be written.
    std::function<bool(TimePoint Now)> m_AnyNeeded;
    /// \returns how many boxes write.
    std::function<std::size_t()> m_Writers;
  };
  /// What the store holds.
  struct Found {
    StreamOrigins::Knowledge m_Stream;
    bool m_Read = false; ///< Whether the store answered.
    /// All processes that have written of late.
    std::set<std::string> m_Writers;
  };
  using Done = std::function<void(const Found &)>;

  StreamOriginStore(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
                    Options Opts, Hooks Callbacks);
  StreamOriginStore(const StreamOriginStore &) = delete;
  StreamOriginStore &operator=(const StreamOriginStore &) = delete;

  /// Adds a stream, which is written as soon as it is needed and its caller may
  /// still take it up.
  void record(const BegunStream &Stream, TimePoint Now);
  /// Called when the versions of services may have changed.
  void refresh(TimePoint Now);
  /// Called with the era of the store whenever it may have changed: what was
  /// written in an earlier one may be gone.
  void observeEra(StoreEra Era);
  /// Whether the store names this process as one that writes, for as long as
  /// callers may take up a stream that begins now.
  bool announced(TimePoint Now) const { return Now <= m_AnnouncedUntil; }
  /// Finds how the stream of \p Attempt began: by a read that is made after
  /// this call unless a recent one knows it, and by a second one if that fails.
  /// Calls \p Callback once, before this function returns or later.
  void find(const std::string &Attempt, Done Callback);

private:
  struct Waiting {
    BegunStream m_Stream;
    TimePoint m_Until; ///< When its caller has given up.
  };
  /// A batch that is not written any more.
  struct Finished {
    std::uint64_t m_Number;
    TimePoint m_Until; ///< When the last stream in it is over.
  };
  struct Reader {
    std::string m_Attempt;
    TimePoint m_Since;    ///< When it asked.
    bool m_Again = false; ///< A read for it has failed.
    Done m_Done;
  };

  Duration interval() const;
  bool anyNeeded(TimePoint Now) const;
  bool mustAnnounce(TimePoint Now) const;
  Found foundNow(const std::string &Attempt, TimePoint Now) const;
  void flushLater(TimePoint Now);
  void flush();
  void takeNeeded(TimePoint Now);
  void nextBatch();
  std::string keyOf(std::uint64_t Batch) const;
  void renewLease(TimePoint Now);
  void forgetLease();
  void put();
  void onPut(std::size_t Streams, std::size_t Removed, StoreStatus Status,
             StoreEra Era);
  void endCall();
  void readLater();
  void read();
  void onRead(const StoreItems &Result);
  void take(const StoreItems &Result, TimePoint Now);
  bool answers(Reader &Each) const;

  EventLoop &m_Loop;
  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  /// Streams that are in no batch, by service.
  std::map<std::string, std::deque<Waiting>> m_Waiting;
  StreamsBegunFrame m_Batch; ///< The batch that fills.
  std::uint64_t m_BatchNumber = 0;
  TimePoint m_BatchUntil{};        ///< When the last stream in it is over.
  std::deque<Finished> m_Finished; ///< Earlier batches in the store.
  bool m_Unwritten = false; ///< The batch holds streams that are not stored.
  StoreEra m_Era = 0;
  LeaseId m_Lease = 0;
  TimePoint m_LeaseAt{}; ///< When the lease was requested.
  TimePoint m_AnnouncedUntil{};
  TimePoint m_FlushedAt{}; ///< When the last batch was sent.
  bool m_InFlight = false;
  Timer m_FlushTimer;
  bool m_FlushDue = false;
  std::vector<Reader> m_Readers;
  bool m_Reading = false;
  Timer m_ReadTimer;
  bool m_ReadDue = false;
  StreamOrigins m_Read;            ///< What the last read brought.
  std::set<std::string> m_Writers; ///< The processes whose keys it brought.
  TimePoint m_ReadAt{};            ///< When the last read ended.
  TimePoint m_ReadBegan{};         ///< When the last read was sent.
  bool m_HasRead = false;          ///< Whether it brought something.
  /// Expires with this object.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
