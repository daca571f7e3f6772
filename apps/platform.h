// `whinpost platform`: one placer on the platform's protocol, as its environment variables and its file say.
#pragma once
#include "log/logger.h"

namespace whinpost::apps {

int platform(log::Level);

}  // namespace whinpost::apps
