/*
 * Decides whether a request may run, by the key that it carries and by the age
 * of what is known about keys.
 *
 * A key that was withdrawn must not be served much later, also by a VM that
 * does not learn of it. So a VM that must be strict stops serving keys before
 * its knowledge is as old as the bound on withdrawals.
 */
#pragma once

#include "Organisation.h"

namespace wasabispread {

/** What a request carries as its key. */
enum class KeyForm : std::uint8_t
{
  kAbsent,
  kPresent,
  /** Not of the form that keys are sent in. */
  kMalformed,
  /** More than one. */
  kRepeated,
};

/** The key of a request. Never logged, and sent to no target and no VM. */
struct CallerKey
{
  KeyForm mForm = KeyForm::kAbsent;
  std::string mText;
};

/** How old the knowledge of keys may be. */
struct KnowledgeRule
{
  /** Whether requests with a key are refused once the knowledge is too old. */
  bool mIsStrict = false;
  /** The time after its withdrawal within which a key may still be served. */
  Duration mMaxAge = std::chrono::seconds(5);
};

/** The age from which on a VM must not rely on what it knows of keys: below
    the bound by a margin for the drift of clocks and the way of a request. */
Duration
UsableAge(const KnowledgeRule& aRule);

/** The age at which a VM that watches the store asks for its state, so that the
    knowledge of the VMs that depend on it stays usable when some questions are
    not answered. */
Duration
RefreshAge(const KnowledgeRule& aRule);

/** The outcome of a check. */
enum class KeyVerdict : std::uint8_t
{
  kAllowed,
  /** The request carries no usable key, or one that nobody holds. */
  kUnauthorised,
  /** What this VM knows is too old to decide. */
  kKnowledgeTooOld,
  /** The configuration does not say in a usable way who holds the key. */
  kUndecided,
};

struct KeyDecision
{
  KeyVerdict mVerdict = KeyVerdict::kAllowed;
  /** The organisation; null when the request has none, as on a public route. */
  const Organisation* mOrganisation = nullptr;
  /** What is wrong, without the key. */
  const char* mReason = "";
};

/** Decides about a request that arrived just now. aAge is how old this VM's
    knowledge of keys may be. On a public route every request is allowed, and
    one with a known key belongs to that key's organisation. */
KeyDecision
CheckKey(const OrganisationDirectory& aOrganisations,
         const CallerKey& aKey,
         bool aIsPublicRoute,
         Duration aAge,
         const KnowledgeRule& aRule);

/** The name used in logs. */
const char*
ToText(KeyVerdict aVerdict);

} // namespace wasabispread
