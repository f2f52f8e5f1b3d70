package fleet

import "wheatlane/internal/check"

// The checks of this layer.
var (
	DuplicateAddress = check.Check{
		Code:           "S101",
		Severity:       check.Fault,
		Requirement:    "a broker listens at an address of its own",
		Remedy:         "another address",
		InvalidExample: `two files with "listen":"10.0.0.4:6565"`,
		ValidExample:   `"listen":"10.0.0.5:6565"`,
	}
	EngineMismatch = check.Check{
		Code:           "S102",
		Severity:       check.Fault,
		Requirement:    "brokers that know as many events know the same engines",
		Remedy:         "the events of one change log",
		InvalidExample: `"seq":3 in both, and other engines`,
		ValidExample:   `the same events`,
	}
	RevisionMismatch = check.Check{
		Code:           "S103",
		Severity:       check.Warning,
		Requirement:    "brokers start from lists of one age",
		Remedy:         "the later list",
		InvalidExample: `"seq":3 and "seq":9`,
		ValidExample:   `"seq":9 in both`,
	}
	ClassMismatch = check.Check{
		Code:           "S104",
		Severity:       check.Fault,
		Requirement:    "a class means the same at each broker",
		Remedy:         "one meaning, or two names",
		InvalidExample: `"Effect":"repeatable" and "Effect":"by_key"`,
		ValidExample:   `the same in both`,
	}
	TenantMismatch = check.Check{
		Code:           "S105",
		Severity:       check.Fault,
		Requirement:    "a tenant's share is one share of the whole service",
		Remedy:         "the same share",
		InvalidExample: `"Share":0.59 and "Share":0.4`,
		ValidExample:   `"Share":0.59 in both`,
	}
	PeerCountMismatch = check.Check{
		Code:           "S106",
		Severity:       check.Fault,
		Requirement:    "brokers of a tier count the same peers",
		Remedy:         "the number there are",
		InvalidExample: `"PeersTotal":3 and "PeersTotal":5`,
		ValidExample:   `"PeersTotal":5 in both`,
	}
	DuplicateIndex = check.Check{
		Code:           "S107",
		Severity:       check.Fault,
		Requirement:    "a broker has an index of its own among its peers",
		Remedy:         "another index",
		InvalidExample: `two with "Position":1`,
		ValidExample:   `"Position":2`,
	}
	ChangelogMismatch = check.Check{
		Code:           "S108",
		Severity:       check.Warning,
		Requirement:    "brokers of a tier follow one change log",
		Remedy:         "its address",
		InvalidExample: `"changelog":"10.2.0.1:4222" and "10.2.0.2:4222"`,
		ValidExample:   `one of them`,
	}
	DuplicateName = check.Check{
		Code:           "S109",
		Severity:       check.Warning,
		Requirement:    "a broker has a name of its own, by which metrics and logs identify it",
		Remedy:         "another name",
		InvalidExample: `two with "name":"n1"`,
		ValidExample:   `"name":"n2"`,
	}
)

// Table lists all checks of this layer.
var Table = []check.Check{
	DuplicateAddress, EngineMismatch, RevisionMismatch, ClassMismatch, TenantMismatch, PeerCountMismatch,
	DuplicateIndex, ChangelogMismatch, DuplicateName,
}
