/// \file
/// Commands of `havenstair` on boxes, upstreams, moves and single requests.
#ifndef HAVENSTAIR_HAVENSTAIR_PROCESS_FLEETCOMMANDS_H
#define HAVENSTAIR_HAVENSTAIR_PROCESS_FLEETCOMMANDS_H

#include "havenstair/common/ApiClient.h"
#include <string>

namespace havenstair {

/// Prints the state of boxes, upstreams and moves, and drains boxes. Each
/// command throws CommandError when a box does not answer or refuses.
class FleetCommands {
public:
  /// Prints JSON instead of text with \p AsJson.
  FleetCommands(ApiClient &Api, bool AsJson) : m_Api(Api), m_Json(AsJson) {}

  void upstreams(); ///< Prints all upstreams and their load.
  void boxes();     ///< Prints all boxes and the state of the box asked.
  void moves();     ///< Prints the moves of models.
  /// Explains the move or the request whose id is \p Id.
  void explain(const std::string &Id);
  /// Starts the planned stop of the box \p Name.
  void drain(const std::string &Name);

private:
  /// Finds a box by its name, with or without the suffix after '~'.
  /// \throws CommandError when there is none.
  Json findBox(const std::string &Name);

  ApiClient &m_Api;
  bool m_Json;
};

} // namespace havenstair

#endif
