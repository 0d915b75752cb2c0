/// \file
/// Remembers how streams began, for callers that take them up again.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_STREAMORIGINS_H
#define HAVENSTAIR_DECISIONS_PROCESS_STREAMORIGINS_H

#include "decisions/common/Id.h"
#include "decisions/common/SoftwareVersion.h"
#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace havenstair {

/// What a stream is bound to since its first event.
struct StreamOrigin {
  std::string m_Service;
  SoftwareVersion m_Software;
  RequestDigest m_Request; ///< Content of the request that began it.

  bool operator==(const StreamOrigin &) const = default;
};

/// The origins of streams by the id of the attempt that brought their first
/// event. Bounded by time and number; a stream that is forgotten is unknown.
class StreamOrigins {
public:
  struct Options {
    std::size_t m_MaxStreams = 20'000;
    /// No stream is kept for longer, however long its caller would wait.
    Duration m_MaxAge = 120s;
  };
  /// What is known of one attempt.
  struct Knowledge {
    /// Empty when the attempt is unknown or contradicted.
    std::optional<StreamOrigin> m_Origin;
    bool m_Contradicted = false; ///< Different origins were recorded.

    bool operator==(const Knowledge &) const = default;
  };

  StreamOrigins() : StreamOrigins(Options{}) {}
  explicit StreamOrigins(Options Opts) : m_Opts(Opts) {}

  /// Records how the stream of \p Attempt began, of use for \p Left.
  void record(const std::string &Attempt, const StreamOrigin &Origin,
              Duration Left, TimePoint Now);
  Knowledge find(const std::string &Attempt, TimePoint Now) const;
  std::size_t size() const { return m_Known.size(); }

private:
  using ByExpiry = std::multimap<TimePoint, std::string>;
  struct Entry {
    std::optional<StreamOrigin> m_Origin; ///< Empty when contradicted.
    ByExpiry::iterator m_Expiry;
  };

  void purge(TimePoint Now);

  Options m_Opts;
  std::unordered_map<std::string, Entry> m_Known;
  ByExpiry m_Expiries;
};

} // namespace havenstair

#endif
