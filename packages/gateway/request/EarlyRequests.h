/// \file
/// Requests that come before the process knows what it serves by.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_EARLYREQUESTS_H
#define HAVENSTAIR_GATEWAY_REQUEST_EARLYREQUESTS_H

#include "decisions/request/RequestDescriptor.h"
#include "wire/common/HttpServer.h"
#include <cstddef>
#include <vector>

namespace havenstair {

/// A box that starts reads its configuration and lists within a second. A
/// caller that is sent away meanwhile comes to another box, which may have
/// started at the same moment, and has used up its second try; so it is kept
/// for as long as the lists are known to come.
class EarlyRequests {
public:
  struct Options {
    /// Since the process started. After all boxes had lost their power, those
    /// with an eighth of a core knew all after 0.5 s with 88 boxes, 1.0 s with
    /// 60 that had keys to read.
    Duration m_Within = 1500ms;
    /// Part of its time left that a caller is kept for: the rest is enough to
    /// serve it, here or elsewhere.
    double m_PartOfDeadline = 0.33;
    /// More are sent away; each holds its body.
    std::size_t m_Most = 500;
  };
  struct Item {
    HttpExchangePtr m_Exchange;
    RequestDescriptor m_Request;
    TimePoint m_Arrived{};
  };

  EarlyRequests(TimePoint StartedAt, Options Opts)
      : m_Opts(Opts), m_StartedAt(StartedAt) {}

  /// Whether \p Of may be kept; it is then.
  bool keep(Item Of, TimePoint Now);
  /// All that are kept.
  std::vector<Item> takeAll();
  /// Those that cannot be kept any longer.
  std::vector<Item> takeOverdue(TimePoint Now);
  std::size_t size() const { return m_Items.size(); }

private:
  TimePoint keptUntil(const Item &Of) const;

  Options m_Opts;
  TimePoint m_StartedAt;
  std::vector<Item> m_Items;
};

} // namespace havenstair

#endif
