/*
 * Checks keys.
 */
#include "wasabispread_organisations.h"

namespace wasabispread {

Duration
UsableAge(const KnowledgeRule& aRule)
{
  constexpr int kPercent = 85;
  return aRule.mMaxAge * kPercent / 100;
}

Duration
RefreshAge(const KnowledgeRule& aRule)
{
  constexpr int kQuestionsPerBound = 4;
  return aRule.mMaxAge / kQuestionsPerBound;
}

KeyDecision
CheckKey(const OrganisationDirectory& aOrganisations,
         const CallerKey& aKey,
         bool aIsPublicRoute,
         Duration aAge,
         const KnowledgeRule& aRule)
{
  const bool isUsable = aAge < UsableAge(aRule);
  const KeyHolder found = aKey.mForm == KeyForm::kPresent
                            ? aOrganisations.FindHolder(aKey.mText)
                            : KeyHolder{};
  const Organisation* const holder = found.mOrganisation;
  if (aIsPublicRoute) {
    const bool counts = isUsable || !aRule.mIsStrict;
    return { KeyVerdict::kAllowed, counts ? holder : nullptr, "" };
  }
  if (aOrganisations.IsUnread()) {
    return { KeyVerdict::kUndecided,
             nullptr,
             "the organisations of the configuration cannot be read" };
  }
  switch (aKey.mForm) {
    case KeyForm::kAbsent:
      return { KeyVerdict::kUnauthorised, nullptr, "the request has no key" };
    case KeyForm::kMalformed:
      return { KeyVerdict::kUnauthorised, nullptr, "the key is malformed" };
    case KeyForm::kRepeated:
      return { KeyVerdict::kUnauthorised,
               nullptr,
               "the request has more than one key" };
    case KeyForm::kPresent:
      break;
  }
  if (!isUsable && (aRule.mIsStrict || holder == nullptr)) {
    // A key that is not known may have been added, a known one withdrawn.
    return { KeyVerdict::kKnowledgeTooOld,
             nullptr,
             "this VM's knowledge of keys is too old" };
  }
  if (found.mIsUndecided) {
    return { KeyVerdict::kUndecided,
             nullptr,
             "the configuration does not say in a usable way who holds this "
             "key" };
  }
  if (holder == nullptr) {
    return { KeyVerdict::kUnauthorised,
             nullptr,
             "no organisation has this key" };
  }
  return { KeyVerdict::kAllowed, holder, "" };
}

const char*
ToText(KeyVerdict aVerdict)
{
  switch (aVerdict) {
    case KeyVerdict::kAllowed:
      return "allowed";
    case KeyVerdict::kUnauthorised:
      return "unauthorised";
    case KeyVerdict::kKnowledgeTooOld:
      return "knowledge-too-old";
    case KeyVerdict::kUndecided:
      break;
  }
  return "undecided";
}

} // namespace wasabispread
