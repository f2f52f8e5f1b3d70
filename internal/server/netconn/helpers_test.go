package netconn

import (
	"wheatlane/internal/socktest"
)

const testTimeout = socktest.Timeout
