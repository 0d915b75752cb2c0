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
#include <set>

namespace havenstair {

/// A broken connection alone says little: links are reset, and answers cut. The
/// server is asked at once. It has ended when it takes no connection, when
/// another one answers in its place, or when it is listed with a later start.
/// One that says nothing at all may be cut off, and is not believed to have
/// ended.
class CrashWatch {
public:
  struct Hooks {
    /// The question to a server.
    std::function<HttpCall(const UpstreamInstance &At)> m_Question;
    std::function<AnswerFacts(int Status, const HttpHeaders &)> m_ReadAnswer;
    /// \p Server ended with \p Running on it.
    std::function<void(const UpstreamLife &Server,
                       const std::set<RequestDigest> &Running)>
        m_Crashed;
    /// A server was asked and lives, as far as it seems.
    std::function<void(const UpstreamLife &Server)> m_Lives;
  };

  CrashWatch(HttpClient &Client, const ServingView &View, Hooks Callbacks);
  CrashWatch(const CrashWatch &) = delete;
  CrashWatch &operator=(const CrashWatch &) = delete;

  /// The connection to \p Server broke with \p Request on it.
  void broke(const UpstreamLife &Server, const RequestDigest &Request,
             TimePoint Now);
  /// Whether a server on which \p Request was is being asked.
  bool asking(const RequestDigest &Request) const;
  /// The list of servers has changed.
  void listed();
  void prune(TimePoint Now);

private:
  enum class State { Asked, Lives, Ended };

  struct Broken {
    State m_State = State::Asked;
    TimePoint m_At{}; ///< Of the last break.
    std::set<RequestDigest> m_Running;
    std::shared_ptr<void> m_Question;
  };

  void ask(const UpstreamLife &Server, const UpstreamInstance &At);
  void answered(const UpstreamLife &Server, const HttpAnswer &Answer,
                bool InTime);
  void ended(const UpstreamLife &Server);

  HttpClient &m_Client;
  const ServingView &m_View;
  Hooks m_Hooks;
  std::map<UpstreamLife, Broken> m_Broken;
};

} // namespace havenstair

#endif
