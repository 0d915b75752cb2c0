/// \file
/// What servers said of themselves in their answers.
/// See docs/design/server-words.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SERVERWORDS_H
#define HAVENSTAIR_DECISIONS_PROCESS_SERVERWORDS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <optional>

namespace havenstair {

/// A limit that a server names, as one box believes it.
struct NamedLimit {
  double m_PerS = 0;   ///< Requests that it takes from all boxes together.
  TimePoint m_Since{}; ///< It was first named.
  TimePoint m_Heard{}; ///< What is sent from here on may find it ended.
  BoxName m_By;        ///< Who told this box; itself for what it heard.

  bool operator==(const NamedLimit &) const = default;
};

/// That a server leaves, as one box believes it.
struct SaidLeaving {
  TimePoint m_Since{};
  BoxName m_By; ///< Who told this box; itself for what it heard.

  bool operator==(const SaidLeaving &) const = default;
};

/// What a word on a limit changed.
enum class LimitChange { None, Begun, Altered, Ended };

/// \returns its name, for logs.
const char *toString(LimitChange Change);

/// Keeps the words of the newest known life of each server. A limit holds until
/// an answer without one to what was sent after it was heard. That it leaves a
/// server says for the rest of its life.
class ServerWords {
public:
  /// A server that leaves the list for less, as in an outage of the store, goes
  /// on with what it said.
  static constexpr Duration RememberFor = 60s;

  /// The newest list.
  void listed(const InstanceList &List, TimePoint Now);

  /// \p Server named \p PerS, or no limit, in answer to what this box sent at
  /// \p SentAt.
  LimitChange heardLimit(const UpstreamLife &Server, std::optional<double> PerS,
                         const BoxName &Self, TimePoint SentAt, TimePoint Now);
  /// Another box, \p By, told it; \p Age is the time since the limit was first
  /// named.
  LimitChange toldLimit(const UpstreamLife &Server, std::optional<double> PerS,
                        const BoxName &By, Duration Age, TimePoint Now);
  /// Null when \p Id names none.
  const NamedLimit *limit(const InstanceId &Id) const;
  /// Of all servers that name one.
  std::map<UpstreamLife, NamedLimit> limits() const;

  /// \p Server said that it leaves, as \p By told or this box heard. \returns
  /// whether that is new.
  bool heardLeaving(const UpstreamLife &Server, const BoxName &By,
                    TimePoint Now);
  /// \p Server turned a request of this box away and wants none for \p For. Of
  /// several such times the latest end holds. \returns whether that is news.
  bool heardRetryAfter(const UpstreamLife &Server, Duration For, TimePoint Now);
  /// When \p Id takes requests of this box again; none when it does now.
  std::optional<TimePoint> retryAt(const InstanceId &Id, TimePoint Now) const;
  /// Servers that this box has to keep away from.
  std::size_t backedOff(TimePoint Now) const;

  /// Of all servers that have said so.
  std::map<UpstreamLife, SaidLeaving> leaving() const;

private:
  struct Words {
    UpstreamBirth m_Born = 0;
    std::optional<TimePoint> m_GoneAt; ///< From the list.
    std::optional<NamedLimit> m_Limit;
    std::optional<SaidLeaving> m_Leaving;
    TimePoint m_RetryAt{};
  };

  Words *wordsOf(const UpstreamLife &Server);

  std::map<InstanceId, Words> m_Servers; ///< That ever said something.
};

} // namespace havenstair

#endif
