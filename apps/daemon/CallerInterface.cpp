/*
 * Converts callers' HTTP requests to requests of the VM, and outcomes back.
 */
#include "CallerInterface.h"

namespace wasabispread {

HttpResponse
CallerInterface::operator()(const HttpRequest& aRequest,
                            const DisconnectWatch& aWatch)
{
  auto request =
    ParseCallerRequest(aRequest, CallerToken{}, GenerateRequestId());
  if (!request) {
    return FormatProblem(
      request.error(),
      std::string(FindHeader(aRequest.mHeaders, kRequestIdHeader)));
  }
  const RequestId id = request->mRequestId;
  // The names in the answer must come from the configuration that is in force
  // when the request is planned, not from one adopted before it ends.
  const DeploymentPointer deployment =
    mRunner.State().mConfiguration.mDeployment;
  const Outcome outcome = mRunner.ExecuteRequest(std::move(*request), aWatch);
  return FormatOutcome(id, outcome, deployment.get());
}

std::string
CallerInterface::GenerateRequestId()
{
  const VmIdentity& self = mRunner.State().mSelf;
  return self.mName + "-" + std::to_string(self.mIncarnation.Value()) + "-" +
         std::to_string(mNextRequest++);
}

} // namespace wasabispread
