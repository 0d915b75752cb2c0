/// \file
/// Interface through which requests are passed on to other boxes.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PASSSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_PASSSERVICE_H

#include "decisions/request/AllowedRegions.h"
#include "gateway/request/PassFields.h"
#include "wire/common/Endpoint.h"
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace havenstair {

/// Knows the boxes that take requests from this one.
class PassService {
public:
  /// A box that may be asked.
  struct Target {
    BoxName m_Box;
    DataCentreName m_DataCentre;
    Endpoint m_Endpoint;
  };

  PassService() = default;
  PassService(const PassService &) = delete;
  PassService &operator=(const PassService &) = delete;
  virtual ~PassService() = default;

  /// What the box to pass a request on to has to be like.
  struct Requirements {
    const AllowedRegions &m_Regions;
    const std::set<BoxName> &m_Tried; ///< Boxes that were asked already.
    /// It keeps a stream at the software version that began it.
    bool m_KeepsVersions = false;
    /// Boxes that declined of late are asked again where no other is left.
    bool m_AskDeclined = false;
  };

  /// \returns the box to pass a request on to; empty if there is none.
  virtual std::optional<Target> choose(const Requirements &Needed) = 0;
  /// \returns the fields that tell the other box that the request \p Id comes
  /// from this one.
  virtual HttpHeaders fields(const std::string &Id) const = 0;
  /// Counts a request as passed on to \p To until the token is destroyed.
  virtual std::shared_ptr<void> open(const Target &To) = 0;
  /// Records that what was passed on to \p To ended with \p Outcome. \p
  /// Declined says that the box cannot take requests at present.
  virtual void onOutcome(const Target &To, std::string_view Outcome,
                         bool Declined) = 0;
};

} // namespace havenstair

#endif
