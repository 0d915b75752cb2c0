/// \file
/// The HTTP API for operators.
#ifndef HAVENSTAIR_HAVENSTAIRD_VERSION_ADMINAPI_H
#define HAVENSTAIR_HAVENSTAIRD_VERSION_ADMINAPI_H

#include "havenstaird/version/TableSync.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include <functional>
#include <string>

namespace havenstair {

/// Handles edits of the table, and views of the state of the box.
class AdminApi {
public:
  /// Returns a view as JSON; null when the named object does not exist.
  using View = std::function<Json(const std::string &Name)>;

  struct Options {
    std::string m_Token;
    View m_Upstreams;
    View m_Boxes;
    View m_Moves;    ///< All moves if the name is empty, otherwise that move.
    View m_Requests; ///< The named request.
    std::function<std::string()> m_Metrics;
    std::function<bool()> m_Healthy;
    std::function<bool()> m_Ready;
    std::function<void()> m_Drain;
  };

  AdminApi(TableSync &Rows, Options Opts);

  void handle(const HttpExchangePtr &Exchange);
  /// Answers `/healthz` and `/readyz`. \returns false for other paths.
  bool handleHealth(const HttpExchangePtr &Exchange) const;

private:
  void route(const HttpExchangePtr &Exchange);
  void checkToken(const HttpExchange &Exchange) const;
  void showTable(const HttpExchangePtr &Exchange) const;
  void groupRequest(const HttpExchangePtr &Exchange, const GroupName &Group);
  void showGroup(const HttpExchangePtr &Exchange, const GroupName &Group) const;
  void editGroup(const HttpExchangePtr &Exchange, const GroupName &Group);
  void catalogueRequest(const HttpExchangePtr &Exchange);
  void runEdit(const HttpExchangePtr &Exchange, TableEdit Edit);
  void replyEdit(const HttpExchangePtr &Exchange, const EditOutcome &Outcome,
                 const std::string &EditId) const;
  void showView(const HttpExchangePtr &Exchange, const View &Of,
                const std::string &Name) const;

  TableSync &m_Rows;
  Options m_Opts;
};

} // namespace havenstair

#endif
