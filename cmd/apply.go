package cmd

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// applyCommand sends edits to a daemon for acceptance.
type applyCommand struct{ daemonURL, reason, author string }

func (a *applyCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "apply FILE", Short: "Accept the edits of a file as the next version", Args: cobra.ExactArgs(1), RunE: a.run}
	c.Flags().StringVar(&a.daemonURL, "daemon", "http://127.0.0.1:7200", "operator URL of any daemon")
	c.Flags().StringVar(&a.reason, "reason", "", "why the change is made")
	c.Flags().StringVar(&a.author, "author", "", "who makes the change")
	return c
}

func (a *applyCommand) run(c *cobra.Command, args []string) error {
	b, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(c.Context(), http.MethodPost, a.daemonURL+"/v1/changes", bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Change-Id", rand.Text())
	req.Header.Set("Change-Author", a.author)
	req.Header.Set("Change-Reason", a.reason)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("not accepted: %s", body)
	}
	var answer operator.ChangeAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d accepted, change %s\n", answer.Version, answer.ChangeID)
	return nil
}
