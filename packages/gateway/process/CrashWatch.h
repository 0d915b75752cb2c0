/// \file
/// Finds out whether a server whose connection broke has ended.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CRASHWATCH_H
#define HAVENSTAIR_GATEWAY_PROCESS_CRASHWATCH_H

#include "decisions/common/Id.h"
#include "decisions/process/ServingView.h"
#include "gateway/request/RequestDialect.h"
#include "wire/common/HttpClient.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace havenstair {

/// A broken connection alone says little: links are reset, and answers cut. The
/// server is asked at once. It has ended when it refuses connections, when
/// another one answers in its place, when it is listed with a later start, or
/// when another box has found that out. One that says nothing may be cut off;
/// it has ended if its entry goes, too.
class CrashWatch {
public:
  struct Hooks {
    /// The question to a server.
    std::function<HttpCall(const UpstreamInstance &At)> m_Question;
    std::function<AnswerFacts(int Status, const HttpHeaders &)> m_ReadAnswer;
    /// \p Server ended with \p Running on it.
    std::function<void(const UpstreamIncarnation &Server,
                       const std::set<RequestDigest> &Running)>
        m_Crashed;
    /// A server that was asked at \p AskedAt lives, as far as it seems.
    std::function<void(const UpstreamIncarnation &Server,
                       const AnswerFacts &Answer, TimePoint AskedAt)>
        m_Lives;
  };

  CrashWatch(HttpClient &Client, const ServingView &View, Hooks Callbacks);
  CrashWatch(const CrashWatch &) = delete;
  CrashWatch &operator=(const CrashWatch &) = delete;

  /// The connection to \p Server broke with \p Request on it, or with one that
  /// is not to blame.
  void broke(const UpstreamIncarnation &Server,
             const std::optional<RequestDigest> &Request, TimePoint Now);
  /// Another box has found that \p Server ended.
  void heardOfEnd(const UpstreamIncarnation &Server);
  /// Whether a server on which \p Request was is being asked.
  bool asking(const RequestDigest &Request) const;
  /// The list of servers has changed.
  void listed(TimePoint Now);
  /// Whether connections to \p Server broke lately and it has not answered
  /// since.
  bool mayHaveEnded(const UpstreamIncarnation &Server) const;
  void prune(TimePoint Now);

private:
  enum class State {
    Asked,
    Lives,  ///< It answered.
    Silent, ///< No answer came.
    Ended
  };

  struct Broken {
    State m_State = State::Asked;
    TimePoint m_At{}; ///< Of the last break.
    std::set<RequestDigest> m_Running;
    std::shared_ptr<void> m_Question;
  };

  void ask(const UpstreamIncarnation &Server, const UpstreamInstance &At);
  void answered(const UpstreamIncarnation &Server, const HttpAnswer &Answer,
                TimePoint AskedAt, bool InTime);
  void ended(const UpstreamIncarnation &Server);

  HttpClient &m_Client;
  const ServingView &m_View;
  Hooks m_Hooks;
  std::map<UpstreamIncarnation, Broken> m_Broken;
};

} // namespace havenstair

#endif
