/// \file
/// Interface through which requests learn how a stream began that their callers
/// take up.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_STREAMORIGINSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_STREAMORIGINSERVICE_H

#include "decisions/process/StreamOrigins.h"
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

/// How it is known at which version a stream began.
enum class OriginSource {
  Unknown,      ///< It is not known.
  Contradicted, ///< Boxes know different origins.
  Own,          ///< This box gave the first event or was told of it.
  Box,          ///< Another box knew it.
  OnlyVersion,  ///< The service had no other version of late.
  Store,        ///< Only the store knew it.
  FirstVersion  ///< Those that came later cannot have begun it.
};

/// The name of \p Source in logs and metrics.
std::string_view originSourceName(OriginSource Source);

/// How a stream began.
struct FoundOrigin {
  OriginSource m_Source = OriginSource::Unknown;
  /// The recorded origin; empty for the only or the first version of a service.
  std::optional<StreamOrigin> m_Origin;
  SoftwareVersion m_Software; ///< Empty when it is not known.
  bool m_StoreAway = false;   ///< Not known as the store did not answer.

  bool operator==(const FoundOrigin &) const = default;
};

/// Remembers how streams began, together with other boxes.
class StreamOriginService {
public:
  using Done = std::function<void(const FoundOrigin &)>;

  StreamOriginService() = default;
  StreamOriginService(const StreamOriginService &) = delete;
  StreamOriginService &operator=(const StreamOriginService &) = delete;
  virtual ~StreamOriginService() = default;

  /// Records that a caller has been given the first event of the stream of
  /// \p Attempt, and may take it up within \p Left.
  virtual void record(const std::string &Attempt, const StreamOrigin &Origin,
                      Duration Left) = 0;
  /// Whether streams of \p Service may begin at upstreams of \p Software as
  /// well as at others: a box that has just started would know of it, or the
  /// store has not taken that for so long that room counts for more.
  virtual bool mayBegin(const std::string &Service,
                        const SoftwareVersion &Software,
                        TimePoint Now) const = 0;
  /// Finds how the stream of \p Attempt, which may be empty, began at \p
  /// Service. Calls \p Callback once, before this function returns or later.
  virtual void find(const std::string &Attempt, const std::string &Service,
                    Done Callback) = 0;
};

} // namespace havenstair

#endif
