#ifndef GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_
#define GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! Chooses the controller that an entry asks for the configuration document.
//! Entries spread over the controllers. An entry asks another controller only
//! after a time in which a large document can cross a slow link, because each
//! document that is sent twice slows the links further.
class DocumentSource {
 public:
  struct Candidate {
    std::string controller;
    std::int64_t version = 0;  //!< In force at the controller.
  };

  //! Entries with different `salt` prefer different controllers.
  explicit DocumentSource(std::int64_t salt) : salt_(salt) {}

  //! The controller to ask now: of those in `connected` that have the newest
  //! version one that was not asked yet. Empty when none has a newer version
  //! than `known_version`, or when the last one that was asked may still
  //! answer. One that is no longer connected won't answer.
  std::string NextController(Time now,
                             std::int64_t known_version,
                             const std::vector<Candidate>& connected);

  //! A document has arrived.
  void OnDocumentReceived();

 private:
  std::pair<int, std::size_t> Preference(const Candidate& candidate) const;

  std::int64_t salt_;
  std::string requested_controller_;  // empty: no request is outstanding
  std::map<std::string, int> request_counts_;  // since the last document
  Time retry_at_;
  // Set when a newer version becomes known, until a document has arrived.
  std::optional<Time> spread_until_;
  Duration retry_delay_{};
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_
