package cli

import "github.com/alecthomas/kong"

// helpTexts holds the help texts that are too long for a struct tag, by the variable that the tag refers to.
var helpTexts = kong.Vars{
	"help_serve":       "Run one instance, as the program does without arguments.",
	"help_check":       "Check a configuration (JSON) or an operator's file (INI) and print every error.",
	"help_allocator":   "Run the allocator of an upstream service, which leases its concurrency to the fleet.",
	"help_coordinator": "Run a coordinator, which replicates the state of the fleet with the other coordinators.",
	"help_members":     "Show a running process's view of its fleet and, with --against, how the views of others differ.",
	"help_drill":       "Start many processes, inject faults from a script and check invariants.",

	"help_log":      "Log format: text or json. The default is the format in the operator's file.",
	"help_operator": "Operator's file (INI).",

	"help_include_named": "Also check the keys, certificates and lists that an operator's file names.",
	"help_check_file":    "Configurations (files that begin with a brace) or operator's files.",

	"help_request_operator": "Operator's file (INI) whose section [coordinator] names the coordinators and " +
		"whose section [fleet] names the keys.",
	"help_by":             "Requester of the command, to record in the history.",
	"help_bootstrap":      "Create a new fleet. Use it once, on one coordinator; it has no effect if state exists.",
	"help_recover":        "Continue from this coordinator's state alone if all others and their disks are lost for good.",
	"help_drain_zone":     "Drain all members of a zone that are up, one after another as the budgets allow.",
	"help_drain_upstream": "Drain the allocator of an upstream service, so that the service can be taken down.",
	"help_cancel":         "Cancel requested drains that have not begun.",
	"help_release_start":  "INI file with a section [release]; docs/operating/releases.md lists its settings.",
	"help_fleet_status":   "Show which members are out, why and since when; the budgets; the permits and why they wait.",
	"help_budgets":        "Replace all budgets with those of a file.",

	"help_members_file": "Operator's file of the process; its section [fleet] must set status-socket.",
	"help_against":      "Operator's files of other processes on this machine, to compare their views with this one.",

	"help_drill_set":    "Override a value of the script, for example proxy.policy=random; may be repeated.",
	"help_drill_script": "Script (INI file); docs/operating/drills.md lists its settings.",
	"help_drill_check":  "Only read the script and print the timeline of its actions.",

	"help_cert_authority": "Create an authority: FOLDER/authority.pem to publish, and its private key.",
	"help_cert_issue":     "Issue a certificate to a client or, with --server, to an instance.",
	"help_cert_files":     "Files of the certificates to revoke; without any, the list is only renewed.",

	"help_keys_new":       "Create a key pair without publishing it; only its owner may read the private key.",
	"help_keys_publish":   "Publish the public key of a key pair, with its validity period.",
	"help_key_from":       "Start of validity: RFC 3339, or a duration from now such as 10m. By default there is none.",
	"help_key_until":      "End of validity: RFC 3339, or a duration from now such as 720h. By default there is none.",
	"help_key_folder":     "Folder of the published keys, from which instances read them.",
	"help_token_operator": "Operator's file with the keys and rules for verifying the token.",
	"help_try_token":      "File with a token that the clients send.",
	"help_token_show":     "Show the claims of a token and, with an operator's file, whether it is valid now.",

	"help_queue_check": "Check the login and the configured queues on each broker.",
	"help_queue_watch": "Show the state of a running instance's consumer, read from its status socket.",

	"help_try_rate":     "Requests per second, all classes together.",
	"help_try_run_time": "Mean run time of a request on one of the runtime's two cores.",
	"help_try_amqp":     "Send a third of the requests through a queue of a fake broker.",
	"help_try_log":      "File for the instance's log. By default it is a temporary file, removed on success.",
}
