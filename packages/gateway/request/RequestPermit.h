/// \file
/// One request's permits to be sent to servers that bear little.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTPERMIT_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTPERMIT_H

#include "decisions/process/SendBounds.h"
#include "gateway/request/PermitDesk.h"
#include "gateway/request/RequestDialect.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace havenstair {

/// Asks for a permit right before each send to a server that is cold or names
/// a limit, and keeps the request to it until the permit is used or has lapsed.
/// A server that refuses is left out of the choice until a permit is to be had.
class RequestPermit {
public:
  /// \p Resume: the request is to choose again. It is not called from within a
  /// member of this class, nor after the end of this object. The desk may end
  /// before the request does.
  RequestPermit(EventLoop &Loop, std::weak_ptr<PermitDesk> Desk,
                const SendBounds &Bounds, std::function<void()> Resume);
  RequestPermit(const RequestPermit &) = delete;
  RequestPermit &operator=(const RequestPermit &) = delete;

  /// Whether the choice has to leave out \p Server.
  bool excludes(const InstanceId &Server, TimePoint Now) const;
  /// Whether the request may be sent to \p Server now. Otherwise it is resumed.
  bool ready(const InstanceId &Server, Duration Patience, TimePoint Now);
  /// Whether it has one that holds now, so that it must not be held up.
  bool holds(TimePoint Now) const;
  /// Gives up the permit, as its server can't take the request. \returns
  /// whether there was one.
  bool drop();
  /// The permit is used.
  void noteSent() { drop(); }
  /// The head of an answer of \p Server to what was sent at \p SentAt.
  void heard(const AnswerFacts &Answer, const InstanceId &Server,
             TimePoint SentAt);
  /// A server that refused has a permit, or needs none any more.
  struct Away {
    Duration m_After = 0us;
    bool m_Limited = false; ///< It names a limit; else it is cold.
  };
  /// The soonest; none when none refused.
  std::optional<Away> away(TimePoint Now) const;

private:
  struct Held {
    InstanceId m_Server;
    SendPermit m_Permit;
  };

  void resumeAfter(Duration Wait);
  void answered(const InstanceId &Server, const PermitAnswer &Answer);

  EventLoop &m_Loop;
  std::weak_ptr<PermitDesk> m_Desk;
  const SendBounds &m_Bounds;
  std::function<void()> m_Resume;
  std::optional<Held> m_Held;
  std::map<InstanceId, TimePoint> m_Refused; ///< Until when.
  InstanceId m_Asked;                        ///< Empty when none is.
  Timer m_Timer;
  /// Ends with this object; late answers find it gone.
  std::shared_ptr<RequestPermit *> m_Self;
};

} // namespace havenstair

#endif
