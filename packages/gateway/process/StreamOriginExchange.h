/// \file
/// Shares between boxes how streams began. See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STREAMORIGINEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_STREAMORIGINEXCHANGE_H

#include "decisions/process/VersionHistory.h"
#include "gateway/process/StreamOriginStore.h"
#include "gateway/process/VersionMarks.h"
#include "gateway/process/VersionRecords.h"
#include "gateway/request/StreamOriginService.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

class Fleet;

/// Tells a few other boxes of each stream that begins here, and asks them for
/// streams that callers take up here and that began elsewhere. In a large fleet
/// the relays of the data centre are told, and a leaf asks them; one of them
/// asks all other relays if it does not know the stream.
/// What no box knows may be in the store.
class StreamOriginExchange : public StreamOriginService {
public:
  struct Options {
    std::string m_Prefix;       ///< Prefix of the gateway's keys.
    std::string m_StreamPrefix; ///< Prefix of the keys of streams.
    std::string m_Process;      ///< Name of this process.
    bool m_FirstStart = false;  ///< The whole fleet starts with this box.
  };

  struct Hooks {
    /// \returns whether this box writes the marks of versions to the store.
    std::function<bool()> m_IsWriter;
    /// \returns when this box's list of upstreams, a whole one, was last known
    /// as the store's state; the beginning of time stands for never.
    std::function<TimePoint()> m_ListConfirmedAt;
  };

  StreamOriginExchange(EventLoop &Loop, Fleet &Boxes, CoordinationStore &Store,
                       DecisionLog &Log, const Options &Opts, Hooks Callbacks);
  StreamOriginExchange(const StreamOriginExchange &) = delete;
  StreamOriginExchange &operator=(const StreamOriginExchange &) = delete;

  void record(const std::string &Attempt, const StreamOrigin &Origin,
              Duration Left) override;
  bool mayBegin(const std::string &Service, const SoftwareVersion &Software,
                TimePoint Now) const override;
  void find(const std::string &Attempt, const std::string &Service,
            Done Callback) override;

  /// Called when the store's keys have changed. \p Items are all keys under the
  /// gateway's prefix as of \p At.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At);
  /// Called when the list of upstreams has changed.
  void onListChanged(const InstanceList &List);
  /// Stops waiting for the answer of \p Box.
  void linkDown(const BoxName &Box);
  /// Handles the stream frames among those that \p From sends.
  void onFrame(const BoxName &From, const PeerFrame &Frame);

  /// Number of streams that this box remembers.
  std::size_t size() const { return m_Streams.size(); }

private:
  /// What is known of a stream that is looked for.
  struct Inquiry {
    StreamQueryFrame m_Query;
    StreamAnswerFrame m_Found; ///< What is known so far.
    OriginSource m_Source;     ///< Who knows it.
    std::set<BoxName> m_Answered;
    Done m_Done;
    TimePoint m_AskedAt{}; ///< What is concluded has to be true of then.
  };
  /// A search that other boxes have not answered yet.
  struct Search {
    Inquiry m_Inquiry;
    std::set<BoxName> m_Waiting; ///< Boxes that have not answered.
    Timer m_Timer;
  };
  /// A search that awaits what the store names.
  struct KeyRead {
    Inquiry m_Inquiry;
    Timer m_Timer;
  };

  bool knowsWholeList() const;
  void confirmList();
  StreamAnswerFrame known(const std::string &Attempt,
                          const std::string &Service, TimePoint Now) const;
  bool certain(const std::string &Service, TimePoint Now) const;
  std::vector<BoxName> holdersOf(const std::string &Attempt) const;
  std::vector<BoxName> boxesToAsk() const;
  void ask(StreamQueryFrame Query, StreamAnswerFrame Known,
           const std::vector<BoxName> &Boxes, Done Callback);
  void tellBegun();
  void refresh();
  bool several(const std::string &Service, TimePoint Now) const;
  bool knowsKey(const std::string &Service, TimePoint Now) const;
  bool mayLackVersions(const std::string &Service, TimePoint Now) const;
  bool keyReadSince(const Inquiry &About) const;
  void end(Inquiry About);
  void onKeyRead(std::uint64_t Id);
  void onKeyReadEnded(std::uint64_t Id);
  void decide(Inquiry About);
  FoundOrigin concludeFromStore(const Inquiry &About,
                                const StreamOriginStore::Found &Stored) const;
  void finish(std::uint64_t Id);

  void receive(const BoxName &From, const StreamsBegunFrame &Frame);
  void receive(const BoxName &From, const StreamQueryFrame &Frame);
  void receive(const BoxName &From, const StreamAnswerFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  StreamOrigins m_Streams;
  VersionHistory m_Versions;
  DecisionLog &m_Log;
  VersionMarks m_Marks;
  VersionRecords m_Records;
  std::string m_Process;
  StreamOriginStore m_Stored;
  Hooks m_Hooks;
  Timer m_RefreshTimer;
  Timer m_ConfirmTimer;
  /// A box, and whether it is to write to the store what it is told.
  using Holder = std::pair<BoxName, bool>;
  /// Streams that other boxes are told of when the loop is idle.
  std::map<Holder, StreamsBegunFrame> m_Begun;
  Timer m_TellTimer;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Search> m_Searches;
  std::map<std::uint64_t, KeyRead> m_KeyReads;
};

} // namespace havenstair

#endif
