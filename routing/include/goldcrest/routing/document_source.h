#ifndef GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_
#define GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! Which controller an entry asks for the configuration. Entries spread over
//! the controllers, and ask another one only after a time in which a large
//! document can cross a slow link: each document that is sent twice makes the
//! links slower still.
class DocumentSource {
 public:
  struct Candidate {
    std::string controller;
    std::int64_t version = 0;  //!< That it has in force.
  };

  //! Entries with different `salt` prefer different controllers.
  explicit DocumentSource(std::int64_t salt) : salt_(salt) {}

  //! The controller to ask now; empty when `linked` has nothing newer than
  //! `have`, or one that was asked may still answer.
  std::string NextController(Time now,
                             std::int64_t have,
                             const std::vector<Candidate>& linked);

  //! A document has come.
  void OnDocumentReceived();

 private:
  std::int64_t salt_;
  std::string asked_;  // empty: none is awaited
  Time wait_until_;
  Duration wait_{};
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_DOCUMENT_SOURCE_H_
