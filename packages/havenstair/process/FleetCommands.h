/// \file
/// Commands on boxes, upstreams, moves and single requests.
#ifndef HAVENSTAIR_HAVENSTAIR_PROCESS_FLEETCOMMANDS_H
#define HAVENSTAIR_HAVENSTAIR_PROCESS_FLEETCOMMANDS_H

#include "havenstair/common/ApiClient.h"
#include <string>

namespace havenstair {

class FleetCommands {
public:
  FleetCommands(ApiClient &Api, bool AsJson) : m_Api(Api), m_Json(AsJson) {}

  void upstreams();
  void boxes();
  void moves();
  /// Explains a move or a request by its id.
  void explain(const std::string &Id);
  /// Starts the planned stop of the box \p Name.
  void drain(const std::string &Name);

private:
  /// The box whose name, with or without its suffix, is \p Name.
  Json findBox(const std::string &Name);

  ApiClient &m_Api;
  bool m_Json;
};

} // namespace havenstair

#endif
