/// \file
/// Stand-in for the users' metadata store, with its faults on request.
#ifndef HAVENSTAIR_TESTS_STANDIN_STANDINSTORE_H
#define HAVENSTAIR_TESTS_STANDIN_STANDINSTORE_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// Keys with revisions, transactions, leases and watches, in memory.
class StandinStore {
public:
  /// What is wrong with the store now.
  enum class Fault {
    None,
    Refuses,    ///< Every call gets 503.
    Silent,     ///< No call gets an answer.
    LosesAnswer ///< The next write is done and not answered.
  };

  explicit StandinStore(EventLoop &Loop);

  Endpoint endpoint() const { return m_Server.endpoint(); }
  /// Writes a key as the operator or a server does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The value of a key; empty without it.
  std::string value(const std::string &Key) const;
  /// The value of the first key that begins with \p Prefix.
  std::optional<std::string> firstValue(const std::string &Prefix) const;
  bool has(const std::string &Key) const { return m_Items.contains(Key); }
  /// Whether the value of any key contains \p Text.
  bool mentions(const std::string &Text) const;
  /// Number of keys that begin with \p Prefix.
  std::size_t count(const std::string &Prefix) const;
  void setFault(Fault Now) { m_Fault = Now; }
  /// No lease lapses while they are held; all are as if just renewed then.
  void holdLeases(bool Held);
  /// What boxes write is kept as \p Rewrite, given key and value, returns it.
  void setRewrite(std::function<std::string(const std::string &Key,
                                            const std::string &Value)>
                      Rewrite) {
    m_Rewrite = std::move(Rewrite);
  }
  /// Lists come in pages of \p Size items.
  void setPageSize(std::size_t Size) { m_PageSize = Size; }
  /// Keeps a copy of the store as it is now.
  void keepCopy();
  /// Comes back from the copy in a new era. Changes since then are lost, leases
  /// too, and their revisions are given out again. What put() and remove()
  /// wrote since the copy is written again after \p RewriteAfter.
  void restore(Duration RewriteAfter);
  /// The era that answers name; an empty one is not named.
  void setEra(std::optional<std::uint64_t> Era) { m_Era = Era; }
  std::uint64_t revision() const { return m_Revision; }
  /// Forgets all changes so far, and ends the watches.
  void forgetHistory();
  /// One watch of \p Prefix is never answered, as when its connection is lost
  /// on the way. \returns whether there was one.
  bool silenceWatch(const std::string &Prefix);
  std::size_t calls() const { return m_Calls; }
  /// Watches of \p Prefix that have ended without news.
  std::size_t waitedOut(const std::string &Prefix) const {
    const auto Found = m_WaitedOut.find(Prefix);
    return Found == m_WaitedOut.end() ? 0 : Found->second;
  }
  /// Reads of \p Prefix, each page by itself.
  std::size_t reads(const std::string &Prefix) const {
    const auto Found = m_Reads.find(Prefix);
    return Found == m_Reads.end() ? 0 : Found->second;
  }
  /// Watches of \p Prefix that wait now.
  std::size_t watches(const std::string &Prefix) const;

private:
  struct Item {
    std::string m_Value; ///< Base64, as the calls carry it.
    std::uint64_t m_Revision = 0;
    std::uint64_t m_Lease = 0;
  };
  struct Change {
    std::string m_Key;
    std::uint64_t m_Revision = 0;
    bool m_Gone = false;
    std::string m_Value;
  };
  struct Lease {
    Duration m_TimeToLive = 0us;
    TimePoint m_Ends{};
  };
  /// The parts of the store that come back from a copy.
  struct Copy {
    std::map<std::string, Item> m_Items;
    std::map<std::uint64_t, Lease> m_Leases;
    std::uint64_t m_Revision = 0;
    std::uint64_t m_NextLease = 0;
  };
  /// A write of an operator or a server; without a value, a removal.
  struct OutsideWrite {
    std::string m_Key;
    std::optional<std::string> m_Value;
  };
  struct Watch {
    HttpExchangePtr m_Exchange;
    std::string m_Prefix;
    std::uint64_t m_After = 0;
    TimePoint m_Ends{};
  };

  void writeOutside(const OutsideWrite &Write);
  void rewrite(TimePoint Now);
  void cutWatches();
  void renewLeases(TimePoint Now);
  void reply(const HttpExchangePtr &Exchange, int Status,
             const std::string &Body) const;
  void handle(const HttpExchangePtr &Exchange);
  void range(const HttpExchangePtr &Exchange);
  void watch(const HttpExchangePtr &Exchange);
  void transact(const HttpExchangePtr &Exchange);
  void grant(const HttpExchangePtr &Exchange);
  void keep(const HttpExchangePtr &Exchange, const std::string &Id);
  void endLease(const HttpExchangePtr &Exchange, const std::string &Id);
  void answer(const HttpExchangePtr &Exchange, int Status, const Json &Body);
  Json changes(const std::string &Prefix, std::uint64_t After) const;
  void change(const std::string &Key, const Item *To);
  void dropLease(std::uint64_t Id);
  void wake(TimePoint Now);
  void tick();

  HttpServer m_Server;
  std::map<std::string, Item> m_Items;
  std::deque<Change> m_History; ///< By revision.
  std::uint64_t m_Forgotten = 0;
  std::map<std::uint64_t, Lease> m_Leases;
  std::list<Watch> m_Watches;
  std::map<std::string, std::size_t> m_WaitedOut; ///< Watches by prefix.
  std::map<std::string, std::size_t> m_Reads;     ///< By prefix.
  std::uint64_t m_Revision = 1;
  std::uint64_t m_NextLease = 100;
  bool m_LeasesHeld = false;
  std::optional<std::uint64_t> m_Era = 1;
  Copy m_Copy;
  std::list<OutsideWrite> m_SinceCopy;
  std::list<OutsideWrite> m_Lost; ///< To be written again.
  TimePoint m_RewriteAt{};
  std::size_t m_Calls = 0;
  std::size_t m_PageSize = 2; ///< Small, so that lists have several.
  Fault m_Fault = Fault::None;
  std::function<std::string(const std::string &, const std::string &)>
      m_Rewrite;
  std::list<HttpExchangePtr> m_Unanswered;
  Timer m_Timer;
};

} // namespace havenstair

#endif
